package soaker

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook/emulator/forwarder"
	"github.com/kingcuphook/kingcuphook/platform"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// router is a router process.
type router struct {
	name, ip       string
	settings       string
	logFile        string
	callers, ready string
	store          *forwarder.Forwarder
	// binaries are the paths of the programs that the router runs in turn.
	binaries []string
	mu       sync.Mutex
	// starts counts the starts of the process.
	starts             int
	command            *exec.Cmd
	ended              chan struct{}
	restarting, closed bool
	// ownEnds are the times at which the process ended though nothing had ended it.
	ownEnds []time.Time
	// disturbedUntil is the time until which the router or its connections are
	// considered disturbed by a fault.
	disturbedUntil time.Time
	// interruptions has the times in which the router was stopped or paused.
	interruptions []period
	// outages has the times in which the process did not run, or ends at its limit.
	outages []period
}

const (
	// portCallers, portReady and portPeers are the ports of every router, which differ
	// in their IP addresses.
	portCallers, portReady, portPeers = 21827, 21820, 21840
	// hostTries is how many third bytes reserveHost tries; maxHost is the exclusive
	// limit of their value.
	hostTries = 20
	maxHost   = 255
	// seedCount is the number of seed routers in the settings of each router.
	seedCount = 3
)

// routerIP returns the address of the i-th router of a run with the third byte host.
func routerIP(host, i int) string { return fmt.Sprintf("127.1.%d.%d", host, i+1) }

func (env *environment) newRouter(i int, store string) (*router, error) {
	r := &router{name: fmt.Sprintf("router-%d", i), ip: routerIP(env.soak.Host, i)}
	r.store = &forwarder.Forwarder{Target: store}
	address, err := r.store.Listen()
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	r.callers = fmt.Sprintf("%s:%d", r.ip, portCallers)
	r.ready = fmt.Sprintf("%s:%d", r.ip, portReady)
	seeds := make([]string, 0, seedCount)
	for n := range min(env.soak.Routers, seedCount) {
		seeds = append(seeds, routerIP(env.soak.Host, n))
	}
	text, err := standin.Settings{
		Name: r.name, IP: r.ip, CallersPort: portCallers, ReadyPort: portReady, FirstPort: portPeers,
		Store: address, Seeds: seeds, Grace: stopGrace, Duties: env.duties.settings(),
	}.Encode()
	if err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	r.settings = filepath.Join(env.soak.Dir, r.name+".json")
	r.logFile = filepath.Join(env.soak.Dir, r.name+".log")
	if err := os.WriteFile(r.settings, text, 0o600); err != nil {
		return nil, fmt.Errorf("soaker: %w", err)
	}
	r.binaries = env.soak.binaries()
	return r, r.start()
}

// binaries returns the paths of the programs that each router runs in turn.
func (s *Soak) binaries() []string {
	if s.Previous == "" {
		return []string{s.Binary}
	}
	return []string{s.Previous, s.Binary}
}

// start starts the router's process, unless the run has ended.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	out, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	defer func() { _ = out.Close() }()
	binary := r.binaries[r.starts%len(r.binaries)]
	r.starts++
	r.command = exec.Command(binary, "attach", "--settings", r.settings)
	r.command.Stdout, r.command.Stderr = out, out
	if err := r.command.Start(); err != nil {
		return fmt.Errorf("soaker: %w", err)
	}
	r.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		// The exit status is ignored: the log shows how the process ended.
		_ = c.Wait()
		r.noteEnd()
		close(ended)
	}(r.command, r.ended)
	return nil
}

// noteEnd records the end of the process if nothing had ended it.
func (r *router) noteEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.restarting && !r.closed {
		r.ownEnds = append(r.ownEnds, time.Now())
	}
}

// signal sends a signal to the router's process only, by its process ID.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The error is ignored: the process may have ended already.
	_ = r.command.Process.Signal(s)
}

// await waits for the end of the process, and kills it if it has not ended after d.
func (r *router) await(d time.Duration) {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		r.signal(syscall.SIGKILL)
		<-ended
	}
}

// hasEnded reports whether the process has ended.
func (r *router) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// disturb marks the router as disturbed for at least d from now.
func (r *router) disturb(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := time.Now().Add(d); until.After(r.disturbedUntil) {
		r.disturbedUntil = until
	}
}

// undisturbedSince reports whether the last disturbance of the router ended before the
// time.
func (r *router) undisturbedSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbedUntil.Before(at)
}

// isReady queries the readiness endpoint as the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + r.ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// interrupt records that the router is stopped or paused for d.
func (r *router) interrupt(d time.Duration) {
	now := time.Now()
	r.disturb(d + disturbedAfter)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interruptions = append(r.interruptions, period{now, now.Add(d + disturbedAfter)})
}

// interruptedAt reports whether the router was interrupted at a time.
func (r *router) interruptedAt(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.interruptions, func(p period) bool { return !at.Before(p.begin) && at.Before(p.end) })
}
