package forwarder

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// unspecified is the host of the address that ListenFrom returns: Linux connects it to the
// address that the connection comes from. It is mapped to IPv6, since registrations may not
// have the IPv4 form.
const unspecified = "::ffff:0.0.0.0"

const (
	// listenTries is how many ports ListenFrom tries.
	listenTries = 20
	// backlog is the number of connections that a listener of a source holds.
	backlog = 128
	// fillTimeout is how long a dial takes that a full listener doesn't answer.
	fillTimeout = 20 * time.Millisecond
)

// source is a loopback address that connections come from, and the listener for them.
type source struct {
	forwarder *Forwarder
	address   netip.AddrPort
	// holder is a socket that is bound to the address, so that its port stays reserved while
	// connections are refused.
	holder int

	// setting is held while the fault changes.
	setting sync.Mutex
	// listener accepts the connections; nil while they are refused.
	listener *net.TCPListener
	// fillers are the connections that fill the listener while new ones hang.
	fillers []net.Conn

	mu    sync.Mutex
	fault Fault
	// hanging is closed at the end of FaultHang; nil without it.
	hanging chan struct{}
}

// ListenFrom starts to accept connections that come from the given loopback addresses, at
// the same port of each, that of Address or a free one, and returns the address to dial. The connections must be bound to
// one of the sources, by which SetFrom injects faults.
func (f *Forwarder) ListenFrom(sources ...netip.Addr) (string, error) {
	var failed error
	for range listenTries {
		port, err := f.listenFrom(sources)
		if err == nil {
			return net.JoinHostPort(unspecified, strconv.Itoa(port)), nil
		}
		failed = errors.Join(err, f.closeSources())
	}
	return "", failed
}

// listenFrom opens a port that is free at the first source at all of them.
func (f *Forwarder) listenFrom(sources []netip.Addr) (port int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources = make(map[netip.Addr]*source)
	if a, err := netip.ParseAddrPort(f.Address); err == nil {
		port = int(a.Port())
	}
	for _, address := range sources {
		s := &source{forwarder: f, address: netip.AddrPortFrom(address, uint16(port)), fault: FaultNone}
		if err := s.hold(); err != nil {
			return 0, err
		}
		f.sources[address] = s
		if err := s.open(); err != nil {
			return 0, err
		}
		port = int(s.address.Port())
	}
	return port, nil
}

// closeSources closes the listeners of all sources.
func (f *Forwarder) closeSources() error {
	f.mu.Lock()
	sources := f.sources
	f.sources = nil
	f.mu.Unlock()
	var failed error
	for _, s := range sources {
		s.setting.Lock()
		failed = errors.Join(failed, s.close(), syscall.Close(s.holder))
		s.set(FaultNone)
		s.setting.Unlock()
	}
	return failed
}

// SetFrom sets the fault of the connections that come from a source of ListenFrom:
// FaultNone, FaultHang, FaultReset, FaultRefuse or FaultResetRefuse. It returns an error if
// the port of the source can't be opened or filled.
func (f *Forwarder) SetFrom(address netip.Addr, fault Fault) error {
	f.mu.Lock()
	s := f.sources[address]
	f.mu.Unlock()
	if s == nil {
		return fmt.Errorf("forwarder: no source %v", address)
	}
	s.setting.Lock()
	defer s.setting.Unlock()
	if s.current() == fault {
		return nil
	}
	s.set(fault)
	if fault == FaultRefuse || fault == FaultResetRefuse {
		if err := s.close(); err != nil {
			return err
		}
	} else if err := s.open(); err != nil {
		return err
	}
	if fault == FaultReset || fault == FaultResetRefuse {
		s.resetOpen()
	}
	if fault == FaultHang {
		return s.fill()
	}
	return s.drain()
}

// set changes the fault and ends the hang of the one before.
func (s *source) set(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if s.hanging != nil {
		close(s.hanging)
		s.hanging = nil
	}
	if fault == FaultHang {
		s.hanging = make(chan struct{})
	}
}

func (s *source) current() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// await returns when the connections of the source don't hang.
func (s *source) await() {
	for s != nil {
		s.mu.Lock()
		hanging := s.hanging
		s.mu.Unlock()
		if hanging == nil {
			return
		}
		<-hanging
	}
}

// rejects waits while connections hang, and resets an accepted one that is not to be
// forwarded.
func (s *source) rejects(near net.Conn) bool {
	if s == nil {
		return false
	}
	s.await()
	if remote := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(); s.current() == FaultNone && remote == s.address.Addr() {
		return false
	}
	reset(near)
	return true
}

// hold reserves the port of the source, or a free one if it has none.
func (s *source) hold() error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("forwarder: %w", err)
	}
	port, err := bind(fd, s.address)
	if err != nil {
		return errors.Join(fmt.Errorf("forwarder: hold %v: %w", s.address, err), syscall.Close(fd))
	}
	s.holder = fd
	s.address = netip.AddrPortFrom(s.address.Addr(), port)
	return nil
}

// bind binds a socket to an address, which listeners may share, and returns the port.
func bind(fd int, address netip.AddrPort) (uint16, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return 0, err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return uint16(bound.(*syscall.SockaddrInet4).Port), nil
}

// open opens the listener of the source if it is closed.
func (s *source) open() error {
	if s.listener != nil {
		return nil
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.address))
	if err != nil {
		return fmt.Errorf("forwarder: %w", err)
	}
	s.listener = l
	go s.forwarder.accept(l, s)
	return nil
}

// close closes the listener, so that new connections are refused.
func (s *source) close() error {
	s.closeFillers()
	if s.listener == nil {
		return nil
	}
	err := s.listener.Close()
	s.listener = nil
	return err
}

// check resets a connection that opened while the fault began to reset them.
func (s *source) check(p *pipe) {
	if s == nil {
		return
	}
	if fault := s.current(); fault == FaultReset || fault == FaultResetRefuse {
		p.reset()
	}
}

// resetOpen resets the open connections of the source.
func (s *source) resetOpen() {
	for _, p := range s.forwarder.open() {
		if p.source == s {
			p.reset()
		}
	}
}

// fill fills the listener, which accepts nothing meanwhile, so that the kernel answers no
// dial.
func (s *source) fill() error {
	if err := s.resize(0); err != nil {
		return err
	}
	d := net.Dialer{Timeout: fillTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	for len(s.fillers) < backlog {
		c, err := d.Dial("tcp", s.address.String())
		if isTimeout(err) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("forwarder: %w", err)
		}
		s.fillers = append(s.fillers, c)
	}
	return fmt.Errorf("forwarder: %v can't be filled", s.address)
}

// drain makes room for new connections after fill.
func (s *source) drain() error {
	s.closeFillers()
	if s.listener == nil {
		return nil
	}
	return s.resize(backlog)
}

func (s *source) closeFillers() {
	for _, c := range slices.Backward(s.fillers) {
		_ = c.Close()
	}
	s.fillers = nil
}

// resize sets how many connections the listener holds until they are accepted.
func (s *source) resize(n int) error {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("forwarder: %w", err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("forwarder: %w", err)
	}
	return failed
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
