// Package forwarder is a stand-in for the network between two processes: it
// forwards connections and can make the open ones silent forever; new ones still
// work. It is used by tests, never by a router.
package forwarder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Forwarder forwards connections to an address. Its fields are set before
// Listen.
type Forwarder struct {
	// Target is the IP number and port that connections are forwarded to.
	Target string

	listener net.Listener
	// opened counts the connections.
	opened atomic.Int64
	mu     sync.Mutex
	// pipes has the open connections.
	pipes []*pipe
}

// pipe is one forwarded connection.
type pipe struct {
	near, far net.Conn
	// silent drops everything that is sent from now on.
	silent atomic.Bool
}

// Listen opens the forwarder on loopback and returns its address.
func (f *Forwarder) Listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listener = l
	go f.accept()
	return l.Addr().String(), nil
}

// Opened returns the number of connections so far.
func (f *Forwarder) Opened() int { return int(f.opened.Load()) }

// Silence makes every open connection silent in both directions.
func (f *Forwarder) Silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pipes {
		p.silent.Store(true)
	}
}

// Close closes the listener and every connection.
func (f *Forwarder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pipes {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	return f.listener.Close()
}

func (f *Forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.Target)
		if err != nil {
			_ = near.Close()
			continue
		}
		f.opened.Add(1)
		p := &pipe{near: near, far: far}
		f.mu.Lock()
		f.pipes = append(f.pipes, p)
		f.mu.Unlock()
		go p.copy(near, far)
		go p.copy(far, near)
	}
}

// copy forwards one direction. A silent pipe goes on reading and stays open.
func (p *pipe) copy(to, from net.Conn) {
	_, _ = io.Copy(&muted{pipe: p, to: to}, from)
	if !p.silent.Load() {
		_ = to.Close()
	}
}

// muted writes unless its pipe is silent.
type muted struct {
	pipe *pipe
	to   net.Conn
}

// Write implements io.Writer.
func (m *muted) Write(b []byte) (int, error) {
	if m.pipe.silent.Load() {
		return len(b), nil
	}
	return m.to.Write(b)
}
