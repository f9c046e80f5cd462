package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case in which clients send bodies of the largest size that the operator allows.
const (
	// bodyBytes is maxBodyBytes of the configuration, senders the number of clients that send
	// such bodies at the same time: of the 71 that the deployment has, more than half.
	bodyBytes = 4194304
	senders   = 40
	// linkBytes is what the link of a machine carries in a second: linkMbps is 1,000.
	linkBytes = 125_000_000
	// keptClients is the number of clients with a kept connection and small requests.
	keptClients = 12
	serviceWork = time.Second
	postRoute   = "/rapu33/"
	// maxLost is how often the rule lets a machine close a kept connection without an answer.
	maxLost = 3
)

// playLargeBodies has the clients of one tenant send bodies of the largest allowed size at the same
// time to one router, no faster than its link. The platform ends a process that exceeds its memory.
func playLargeBodies(ctx context.Context, w *world) (bool, error) {
	c := config{
		version: 7, services: []string{modelService, otherService}, engines: map[string]bool{modelService: true},
		routes: []route{{name: "r-2yhvz3p", prefix: postRoute, kind: "unsafe", service: otherService, timeout: 15 * time.Second, attempts: 1}},
	}
	err := w.start(ctx, 2, c, func() error {
		for n := range 3 {
			if err := w.addRunner(&runner{id: fmt.Sprintf("i-%d", n), service: otherService, slots: 64, work: serviceWork}, "1"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	target := w.routers[0]
	watching, stop := context.WithCancel(ctx)
	var watch, calls sync.WaitGroup
	watch.Go(func() { target.enforceMemory(watching) })
	sleep(ctx, 6*time.Second)
	kept := make([]*keptClient, keptClients)
	until := time.Now().Add(14 * time.Second)
	for i := range kept {
		kept[i] = &keptClient{w: w, r: target}
		calls.Go(func() { kept[i].run(ctx, until) })
	}
	sleep(ctx, 4*time.Second)
	if w.trouble {
		w.record.add("%d clients of %s send a body of %d bytes in chunks each to %s", senders, tenant, bodyBytes, target.name)
		for range senders {
			calls.Go(func() { w.sendLarge(ctx, target) })
		}
	}
	calls.Wait()
	stop()
	watch.Wait()
	return w.judgeKept(target, kept), nil
}

// enforceMemory ends the process of the router, as the platform does, if it exceeds its memory,
// and starts it again after a second.
func (r *router) enforceMemory(ctx context.Context) {
	for sleep(ctx, 10*time.Millisecond) {
		r.mu.Lock()
		c := r.command
		r.mu.Unlock()
		mb := residentMB(c.Process.Pid)
		if mb > r.mostMB {
			r.mostMB = mb
		}
		if mb <= memoryMB {
			continue
		}
		r.w.record.add("%s has %d MB, more than the %d MB of its machine: the platform ends it", r.name, mb, memoryMB)
		r.exceeded++
		_ = c.Process.Signal(syscall.SIGKILL)
		<-r.ended
		sleep(ctx, time.Second)
		_ = r.start()
	}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// sendLarge sends one request with a large body, at its share of the link.
func (w *world) sendLarge(ctx context.Context, r *router) {
	id := newAttemptID()
	c, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(c, "POST %slarge HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 15000\r\nAuthorization: Token %s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
		postRoute, host, headerAttempt, id, headerDeadline, apiKey)
	piece := make([]byte, 16<<10)
	pause := time.Duration(float64(len(piece)) * senders / linkBytes * float64(time.Second))
	begun := time.Now()
	for sent := 0; sent < bodyBytes && ctx.Err() == nil; sent += len(piece) {
		time.Sleep(time.Until(begun.Add(time.Duration(sent/len(piece)) * pause)))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			w.record.add("large request %s: after %d bytes: %v", id, sent, err)
			return
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record.add("large request %s: sent whole, no answer: %v", id, err)
		return
	}
	defer resp.Body.Close()
	w.record.add("large request %s: status %d", id, resp.StatusCode)
}

// keptClient sends one small request after the other on a connection that it keeps.
type keptClient struct {
	w     *world
	r     *router
	calls []keptCall
}

// keptCall is a request on a kept connection.
type keptCall struct {
	id     string
	sentAt time.Time
	status int
	err    error
}

func (k *keptClient) run(ctx context.Context, until time.Time) {
	var c net.Conn
	var lines *bufio.Reader
	for ctx.Err() == nil && time.Now().Before(until) {
		if c == nil {
			opened, err := net.DialTimeout("tcp", k.r.front, time.Second)
			if err != nil {
				sleep(ctx, 300*time.Millisecond)
				continue
			}
			c, lines = opened, bufio.NewReader(opened)
		}
		call := keptCall{id: newAttemptID(), sentAt: time.Now()}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(c, "POST %ssmall HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nAuthorization: Token %s\r\nContent-Length: 5\r\n\r\nhello",
			postRoute, host, headerAttempt, call.id, headerDeadline, apiKey)
		resp, err := http.ReadResponse(lines, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			call.status = resp.StatusCode
		}
		call.err = err
		k.calls = append(k.calls, call)
		k.w.record.add("small request %s: status %d, error %v", call.id, call.status, err)
		if err != nil || resp.Close {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// judgeKept reports whether the router closed more kept connections without an answer than the
// rule allows, after it had passed their requests on to runners, all of which are sound.
func (w *world) judgeKept(r *router, kept []*keptClient) bool {
	ran := make(map[string]bool)
	for _, run := range w.allRuns() {
		ran[run.id] = true
	}
	all, lost := 0, 0
	for _, k := range kept {
		for _, call := range k.calls {
			all++
			if call.err != nil && ran[call.id] {
				lost++
			}
		}
	}
	w.record.add("%s had at most %d MB and exceeded its memory %d times; %d of %d requests on kept connections ran and have no answer", r.name, r.mostMB, r.exceeded, lost, all)
	return r.exceeded > 0 && lost > maxLost
}
