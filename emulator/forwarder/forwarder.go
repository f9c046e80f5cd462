// Package forwarder is a stand-in for the network between two processes: it
// forwards connections and can delay, reset, cut and silence them. It is used by
// tests and the soak, never by a router.
package forwarder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what happens to connections from now on.
type Fault string

// Values of Fault.
const (
	// FaultNone forwards everything.
	FaultNone Fault = "none"
	// FaultCut drops what is sent both ways, of open and of new connections.
	FaultCut Fault = "cut"
	// FaultNoReply drops what comes back; what is sent arrives.
	FaultNoReply Fault = "no-reply"
	// FaultRefuse resets new connections.
	FaultRefuse Fault = "refuse"
)

// Forwarder forwards connections to an address. Its fields are set before
// Listen.
type Forwarder struct {
	// Target is the IP number and port that connections are forwarded to.
	Target string
	// Address is what Listen opens; empty means a free port of 127.0.0.1.
	Address string

	listener net.Listener
	// opened counts the connections.
	opened atomic.Int64
	mu     sync.Mutex
	// pipes has the open connections.
	pipes map[*pipe]bool
	fault Fault
	delay time.Duration
}

// pipe is one forwarded connection.
type pipe struct {
	forwarder *Forwarder
	near, far net.Conn
	// silent drops everything that is sent from now on.
	silent atomic.Bool
}

// Listen opens the forwarder on loopback and returns its address.
func (f *Forwarder) Listen() (string, error) {
	address := f.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	f.listener = l
	go f.accept()
	return l.Addr().String(), nil
}

// Opened returns the number of connections so far.
func (f *Forwarder) Opened() int { return int(f.opened.Load()) }

// Silence makes every open connection silent in both directions; new ones work.
func (f *Forwarder) Silence() {
	for _, p := range f.open() {
		p.silent.Store(true)
	}
}

// Reset resets every open connection; new ones work.
func (f *Forwarder) Reset() {
	for _, p := range f.open() {
		reset(p.near)
		reset(p.far)
	}
}

// Set sets the fault of all connections and the delay of what is sent, each way.
func (f *Forwarder) Set(fault Fault, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.delay = delay
}

// Close closes the listener and every connection.
func (f *Forwarder) Close() error {
	for _, p := range f.open() {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	return f.listener.Close()
}

func (f *Forwarder) open() []*pipe {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*pipe, 0, len(f.pipes))
	for p := range f.pipes {
		list = append(list, p)
	}
	return list
}

func (f *Forwarder) state() (Fault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.delay
}

func (f *Forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		if fault, _ := f.state(); fault == FaultRefuse {
			reset(near)
			continue
		}
		far, err := net.Dial("tcp", f.Target)
		if err != nil {
			_ = near.Close()
			continue
		}
		f.opened.Add(1)
		f.add(&pipe{forwarder: f, near: near, far: far})
	}
}

func (f *Forwarder) add(p *pipe) {
	f.mu.Lock()
	if f.pipes == nil {
		f.pipes = make(map[*pipe]bool)
	}
	f.pipes[p] = true
	f.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(p.near, p.far, true) })
	both.Go(func() { p.copy(p.far, p.near, false) })
	go func() {
		both.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.pipes, p)
	}()
}

// reset closes a connection such that its other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copy forwards one direction. A silent pipe goes on reading and stays open.
func (p *pipe) copy(to, from net.Conn, back bool) {
	_, err := io.Copy(&muted{pipe: p, to: to, back: back}, from)
	if p.silent.Load() {
		return
	}
	if err != nil {
		reset(to)
		return
	}
	_ = to.Close()
}

// muted writes unless its pipe drops what is sent.
type muted struct {
	pipe *pipe
	to   net.Conn
	// back says that it writes to the side that opened the connection.
	back bool
}

// Write implements io.Writer.
func (m *muted) Write(b []byte) (int, error) {
	fault, delay := m.pipe.forwarder.state()
	if fault == FaultCut || fault == FaultNoReply && m.back {
		// What was dropped leaves a gap: nothing may follow it.
		m.pipe.silent.Store(true)
	}
	if m.pipe.silent.Load() {
		return len(b), nil
	}
	time.Sleep(delay)
	return m.to.Write(b)
}
