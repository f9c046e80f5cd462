package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// Figures of the deployment, as on the pages of a small one.
const (
	contactTime   = 4 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	graceTime     = 8 * time.Second
	// drainTime is drainMs and a little more.
	drainTime = 3500 * time.Millisecond
	// memoryMB is the memory of a machine in MB: a process with more is killed.
	memoryMB = 284
	host     = "models.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
)

// world has the routers, the store and the runners of a case.
type world struct {
	record          *record
	dir, repository string
	// trouble is true unless the case is played without its disruption.
	trouble bool

	store     *storer.Store
	storeHTTP *http.Server
	address   string
	// storeStatus is the status with which the store turns all calls away; 0 if it serves them.
	storeStatus atomic.Int64
	// third is the third byte of the loopback addresses of the routers, port the first of their
	// ports.
	third, port int
	routers     []*router
	// sentInTouch has, by attempt, whether the machine that a request was sent to was in touch. It is
	// used by the one client of the case that needs it.
	sentInTouch map[string]bool

	mu      sync.Mutex
	runners []*runner
	closed  bool
}

// start starts the store, writes the first configuration and starts the routers, as soon as the
// given function has started the runners.
func (w *world) start(ctx context.Context, routers int, c config, startRunners func() error) error {
	if err := w.serveStore(); err != nil {
		return err
	}
	if err := w.putConfig(c); err != nil {
		return err
	}
	if err := startRunners(); err != nil {
		return err
	}
	if err := w.findPorts(routers); err != nil {
		return err
	}
	for i := range routers {
		r, err := w.newRouter(i, routers)
		if err != nil {
			return err
		}
		w.routers = append(w.routers, r)
	}
	for _, r := range w.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(ctx)
}

// awaitReady waits until all routers are ready, as the platform asks them.
func (w *world) awaitReady(ctx context.Context) error {
	for _, r := range w.routers {
		for !r.isReady(ctx) {
			if !sleep(ctx, 50*time.Millisecond) || time.Since(w.record.begun) > 100*time.Second {
				return fmt.Errorf("harness: %s is not ready", r.name)
			}
		}
	}
	return nil
}

func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
	}
	w.mu.Lock()
	w.closed = true
	runners := w.runners
	w.mu.Unlock()
	for _, r := range runners {
		r.crash()
	}
	if w.storeHTTP != nil {
		_ = w.storeHTTP.Close()
	}
}

// keepLogs copies the logs of the routers into a folder, for a case that couldn't run.
func (w *world) keepLogs(dir string) {
	for _, r := range w.routers {
		if text, err := os.ReadFile(r.logFile); err == nil {
			_ = os.WriteFile(filepath.Join(dir, r.name+".log"), text, 0o600)
		}
	}
}

// serveStore serves the platform's store. Watches are held as long as they ask for.
func (w *world) serveStore() error {
	w.store = &storer.Store{WatchWait: 50 * time.Millisecond}
	served := &standin.Store{Store: w.store, RejectStatus: func(*http.Request) int { return int(w.storeStatus.Load()) }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	w.address = l.Addr().String()
	w.storeHTTP = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kingcuphook/kv-watch" && w.storeStatus.Load() == 0 {
			w.awaitChange(r)
		}
		served.ServeHTTP(rw, r)
	})}
	go func() { _ = w.storeHTTP.Serve(l) }()
	return nil
}

// awaitChange returns once there is a change for a watch, or its time is over.
func (w *world) awaitChange(r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for time.Now().Before(until) {
		entries, _, err := w.store.Watch(r.Context(), q.Get("pathPrefix"), after)
		if err != nil || len(entries) > 0 {
			return
		}
	}
}

func (w *world) put(key string, value any) error {
	text, err := json.Marshal(value)
	if err == nil {
		_, err = w.store.Put(context.Background(), key, text, kingcuphook.RevisionAny, 0)
	}
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind string
	service            string
	timeout            time.Duration
	attempts           int
	resumable          bool
	// gapAim is the longest pause between two events with which a stream is on time; 0 means 400 ms.
	gapAim time.Duration
}

// config is the operator's configuration.
type config struct {
	version int
	routes  []route
	// services has the names of the services; engines those of runners of models.
	services []string
	engines  map[string]bool
}

func (w *world) putConfig(c config) error {
	routes, services := make([]any, 0, len(c.routes)), make([]any, 0, len(c.services))
	for _, r := range c.routes {
		value := map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeoutMs": r.timeout.Milliseconds(), "sloMs": 500, "priority": 0, "maxAttempts": r.attempts, "public": false,
		}
		if r.kind == "streaming" {
			value["affinity"], value["resumable"], value["gapAimMs"] = true, r.resumable, cmp.Or(r.gapAim, 400*time.Millisecond).Milliseconds()
		}
		routes = append(routes, value)
	}
	for _, name := range c.services {
		value := map[string]any{"name": name, "healthCheck": "/health", "maxConns": 370, "protocol": "h1", "tls": false}
		if c.engines[name] {
			value["engine"] = map[string]any{"batchSlots": 64, "kvCapacity": 594509, "tokenKvBytes": 18432}
		}
		services = append(services, value)
	}
	return w.put("op/config", map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

const (
	// portFront, portReady and portControl are the offsets of a router's ports; the internal
	// ones follow.
	portFront, portReady, portControl, portInternal = 0, 1, 2, 3
	internalPorts                                   = 16
	seedCount                                       = 3
)

func (w *world) routerIP(i int) string { return fmt.Sprintf("127.2.%d.%d", w.third, i+1) }

// findPorts finds loopback addresses and ports that are free.
func (w *world) findPorts(routers int) error {
	for try := range 200 {
		w.third, w.port = 1+(os.Getpid()+try)%250, 20000+(os.Getpid()*7+try*23)%10000
		if w.isFree(routers) {
			return nil
		}
	}
	return errors.New("harness: no free ports")
}

func (w *world) isFree(routers int) bool {
	for i := range routers {
		for p := range portInternal + internalPorts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.routerIP(i), w.port+p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// router is a process of the system on a machine of its own.
type router struct {
	w                 *world
	name, ip          string
	settings, logFile string
	front, ready      string
	program           string
	arguments         []string
	mu                sync.Mutex
	command           *exec.Cmd
	ended             chan struct{}
	startedAt         time.Time
	mostMB, exceeded  int
}

func (w *world) newRouter(i, routers int) (*router, error) {
	ip := w.routerIP(i)
	r := &router{
		w: w, name: fmt.Sprintf("front-%d", i+1), ip: ip,
		front: fmt.Sprintf("%s:%d", ip, w.port+portFront), ready: fmt.Sprintf("%s:%d", ip, w.port+portReady),
	}
	r.settings = filepath.Join(w.dir, r.name+".json")
	r.logFile = filepath.Join(w.dir, r.name+".log")
	seeds := make([]string, 0, seedCount)
	for n := range min(routers, seedCount) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.routerIP(n), w.port+portControl))
	}
	text, err := json.MarshalIndent(map[string]any{
		"nodeName": r.name, "role": "router", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": ip, "zone": "cairo-a", "region": "cairo", "zones": map[string]string{"cairo-a": "cairo"},
		"listen":        map[string]string{"front": r.front, "ready": r.ready, "control": fmt.Sprintf("%s:%d", ip, w.port+portControl)},
		"internalPorts": []int{w.port + portInternal, w.port + portInternal + internalPorts - 1},
		"seeds":         seeds, "bootstrap": true, "inLossBudget": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeatTime.Milliseconds(),
		"invariants":     []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": contactTime.Milliseconds(), "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": graceTime.Seconds(),
			"lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250, "maxStretchMs": 6000, "strictRevoke": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "recoveryS": 12, "passMs": 400, "againS": 10,
		},
		"provider": map[string]any{"address": w.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}, "", "  ")
	if err == nil {
		err = os.WriteFile(r.settings, text, 0o600)
	}
	if err == nil {
		r.program, r.arguments, err = deployedCommand(w.repository)
	}
	if err != nil {
		return nil, fmt.Errorf("harness: %w", err)
	}
	return r, nil
}

// deployedCommand returns the program and the arguments of the role that serves clients.
func deployedCommand(repository string) (string, []string, error) {
	text, err := os.ReadFile(filepath.Join(repository, "deploy", "system.toml"))
	if err != nil {
		return "", nil, err
	}
	for line := range strings.Lines(string(text)) {
		if command, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			words := strings.Fields(strings.Trim(command, `"`))
			return filepath.Join(repository, words[0]), words[1:], nil
		}
	}
	return "", nil, errors.New("no command in the deploy file")
}

// start starts the process of the router.
func (r *router) start() error {
	out, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(r.program, r.arguments...)
	c.Dir = r.w.repository
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.w.dir, "KINGCUPHOOK_SETTINGS=" + r.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.command, r.ended, r.startedAt = c, ended, time.Now()
	r.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	r.w.record.add("%s starts, process %d", r.name, c.Process.Pid)
	return nil
}

// kill kills the process and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	c, ended := r.command, r.ended
	r.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-ended
	r.mu.Lock()
	r.startedAt = time.Time{}
	r.mu.Unlock()
}

// inTouchAt reports whether the process had run for contactTime at a time.
func (r *router) inTouchAt(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.startedAt.IsZero() && at.Sub(r.startedAt) >= contactTime
}

func (r *router) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/kingcuphook/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sleep sleeps for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
