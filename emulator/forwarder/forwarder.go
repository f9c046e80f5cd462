// Package forwarder is a TCP proxy that emulates network faults between two processes:
// it can delay data, drop it, and hang, reset and refuse connections, also of some sources
// only. It is used by tests and by the soak command, never by a router.
package forwarder

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is a network fault that a Forwarder applies to its connections.
type Fault string

// Values of Fault.
const (
	// FaultNone forwards all data.
	FaultNone Fault = "none"
	// FaultBlackhole drops data in both directions, on open and new connections.
	FaultBlackhole Fault = "cut"
	// FaultNoReply drops data from the target; data to the target arrives.
	FaultNoReply Fault = "no-reply"
	// FaultRefuse resets new connections; open ones go on. By source, new ones are refused.
	FaultRefuse Fault = "refuse"
	// FaultHang stops all data of open connections and answers no new ones. Open ones and
	// pending dials go on at its end. Only for SetFrom.
	FaultHang Fault = "hang"
	// FaultReset resets open connections, and new ones once they are open. Only for SetFrom.
	FaultReset Fault = "reset"
	// FaultResetRefuse resets open connections and refuses new ones. Only for SetFrom.
	FaultResetRefuse Fault = "reset-refuse"
)

// Forwarder forwards TCP connections to an address. Its fields must be set before
// Listen.
type Forwarder struct {
	// Target is the IP address and port that connections are forwarded to.
	Target string
	// Address is the address to listen on; empty means a free port of 127.0.0.1. ListenFrom uses
	// its port only.
	Address string

	listener net.Listener
	// opened counts the forwarded connections.
	opened atomic.Int64
	mu     sync.Mutex
	// pipes holds the open connections.
	pipes map[*pipe]bool
	fault Fault
	delay time.Duration
	// sources holds the source addresses of ListenFrom.
	sources map[netip.Addr]*source
}

// pipe is one forwarded connection.
type pipe struct {
	forwarder *Forwarder
	// near is the accepted connection, far the one to the target.
	near, far net.Conn
	// silent indicates that all further data is dropped in both directions.
	silent atomic.Bool
	// source is where the connection comes from; nil without ListenFrom.
	source *source
}

// Listen starts to accept connections and returns the address listened on.
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
	go f.accept(l, nil)
	return l.Addr().String(), nil
}

// Opened returns the number of connections forwarded so far.
func (f *Forwarder) Opened() int { return int(f.opened.Load()) }

// Blackhole drops all further data of the open connections, in both directions, and keeps
// them open. New connections are not affected.
func (f *Forwarder) Blackhole() {
	for _, p := range f.open() {
		p.silent.Store(true)
	}
}

// Reset resets the open connections. New connections are not affected.
func (f *Forwarder) Reset() {
	for _, p := range f.open() {
		p.reset()
	}
}

// Set sets the fault of all connections, and the delay of each write in either
// direction.
func (f *Forwarder) Set(fault Fault, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.delay = delay
}

// Close closes the listener and all connections.
func (f *Forwarder) Close() error {
	for _, p := range f.open() {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	if f.listener == nil {
		return f.closeSources()
	}
	return f.listener.Close()
}

// open returns the open connections.
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

// accept forwards the connections of a listener until it is closed.
func (f *Forwarder) accept(l net.Listener, from *source) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		if from.rejects(near) {
			continue
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
		p := &pipe{forwarder: f, near: near, far: far, source: from}
		f.add(p)
		from.check(p)
	}
}

// add registers p and forwards both directions until they end.
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

func (p *pipe) reset() {
	reset(p.near)
	reset(p.far)
}

// reset closes a connection with a TCP RST instead of a FIN.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copy forwards one direction until its end. A silent pipe is still read, but its
// destination is left open.
func (p *pipe) copy(to, from net.Conn, back bool) {
	_, err := io.Copy(&faultWriter{pipe: p, to: to, back: back}, from)
	p.source.await()
	if p.silent.Load() {
		return
	}
	if err != nil {
		reset(to)
		return
	}
	_ = to.Close()
}

// faultWriter forwards the writes of one direction, with the delay and the fault of the
// forwarder, or drops them.
type faultWriter struct {
	pipe *pipe
	to   net.Conn
	// back indicates the direction from the target to the side that opened the
	// connection.
	back bool
}

// Write implements io.Writer.
func (w *faultWriter) Write(b []byte) (int, error) {
	w.pipe.source.await()
	fault, delay := w.pipe.forwarder.state()
	if fault == FaultBlackhole || fault == FaultNoReply && w.back {
		// Dropped data leaves a gap in the byte stream, so nothing may be forwarded after
		// it, even when the fault ends.
		w.pipe.silent.Store(true)
	}
	if w.pipe.silent.Load() {
		return len(b), nil
	}
	time.Sleep(delay)
	return w.to.Write(b)
}
