package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/pathfinder"
	"github.com/kingcuphook/kingcuphook/relayer"
	"github.com/kingcuphook/kingcuphook/timekeeper"
	"github.com/kingcuphook/kingcuphook/transporter"
)

const (
	// probeTimeout bounds a probe of a direct path, relayTimeout one through a peer, which
	// takes two connections.
	probeTimeout = 300 * time.Millisecond
	relayTimeout = 400 * time.Millisecond
	// maxRepeats is how often a probe is repeated whose timeout shows nothing.
	maxRepeats = 2
	// directLead is how long a check waits for the direct path before it asks peers.
	directLead = 120 * time.Millisecond
	// minGrace is how long a check at least waits for the direct path once a peer has reached the
	// upstream.
	minGrace = 40 * time.Millisecond
	// peersPerRound is how many peers a check asks at the same time, checkRounds how often it
	// asks others if none of them reaches the upstream.
	peersPerRound = 4
	checkRounds   = 2
	// checkWait bounds how long a failed attempt waits for the verdict of a check. doubtWait
	// replaces it while the router's own links are in doubt: the next upstream is then no
	// better.
	checkWait = 50 * time.Millisecond
	doubtWait = 500 * time.Millisecond
	// maxPaths is how many paths one attempt tries of which nothing could be sent.
	maxPaths = 3
	// watchInterval is the interval of WatchPaths.
	watchInterval = 50 * time.Millisecond
)

// roundTrip sends an attempt on the path to its upstream, and on another path if nothing could be
// sent on the first. It returns the response and the way that it came.
func (f *Forwarder) roundTrip(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt) (*http.Response, hop, error) {
	for tries := 1; ; tries++ {
		peer, err := f.path(ctx, u)
		h := hop{peer: peer}
		if err != nil {
			return nil, h, err
		}
		resp, connected, err := f.sendVia(ctx, u, a, &h)
		if err == nil {
			return resp, h, nil
		}
		f.recordRefusal(u, peer, err)
		if connected {
			return nil, h, fmt.Errorf("forwarder: %s: %w: %w", u.Address(), kingcuphook.ErrOutcomeUnknown, f.explain(ctx, u, peer, err))
		}
		if f.Paths == nil || ctx.Err() != nil || !f.recheck(ctx, u, peer, pathfinder.EvidenceDial, err) || tries >= maxPaths {
			return nil, h, fmt.Errorf("forwarder: %s: %w: %w: %w", u.Address(), kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent, f.explainDial(u, err))
		}
	}
}

// via returns the peer through which an upstream is reached; the zero address means directly.
func (f *Forwarder) via(u *kingcuphook.Upstream) netip.Addr {
	if f.Paths == nil {
		return netip.Addr{}
	}
	return f.Paths.Via(time.Now(), u)
}

// errNoPath means that the direct path to an upstream is cut and no peer reaches it.
var errNoPath = errors.New("no path")

// path is like via, but waits a short time for a check if no path is known. It returns an error if none is found.
func (f *Forwarder) path(ctx context.Context, u *kingcuphook.Upstream) (netip.Addr, error) {
	if f.Paths == nil {
		return netip.Addr{}, nil
	}
	if peer, ok := f.Paths.Path(time.Now(), u); ok {
		return peer, nil
	}
	f.awaitCheck(ctx, f.startCheck(u, netip.Addr{}), true)
	peer, ok := f.Paths.Path(time.Now(), u)
	if !ok || f.Paths.State(u.Program()) == pathfinder.StateDown {
		return netip.Addr{}, fmt.Errorf("forwarder: %s: %w: %w: %w", u.Address(), kingcuphook.ErrUnavailable, kingcuphook.ErrNotSent, f.explainDial(u, errNoPath))
	}
	return peer, nil
}

// sendVia sends an attempt through the peer of the hop, if it has one, and sets when its connection was
// opened. It reports whether a connection was obtained.
func (f *Forwarder) sendVia(ctx context.Context, u *kingcuphook.Upstream, a *kingcuphook.Attempt, h *hop) (*http.Response, bool, error) {
	transport := f.transport(u, h.peer)
	if a.Resent() {
		transport = f.newTransport(u, h.peer, true)
	}
	r := f.newRequest(ctx, u, a)
	if f.Paths == nil {
		return transporter.SendOn(r, transport.RoundTrip, func(_ net.Conn, openedAt time.Time) { h.openedAt = openedAt })
	}
	if h.peer.IsValid() {
		return transporter.SendOn(r, transport.RoundTrip, func(c net.Conn, openedAt time.Time) {
			h.openedAt = openedAt
			f.reportRelayed(u, a, h.peer, c)
		})
	}
	flight := f.Paths.Began(time.Now(), u)
	ended := sync.OnceFunc(func() { f.Paths.Ended(flight) })
	resp, connected, err := transporter.SendOn(r, transport.RoundTrip, func(_ net.Conn, openedAt time.Time) {
		h.openedAt = openedAt
		f.Paths.Connected(time.Now(), flight)
	})
	if err != nil {
		ended()
		return nil, connected, err
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, ended: ended}
	return resp, connected, nil
}

// trackedBody reports when it is closed.
type trackedBody struct {
	io.ReadCloser

	ended func()
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.ended()
	return b.ReadCloser.Close()
}

// reportRelayed reports the relayed connection of an attempt.
func (f *Forwarder) reportRelayed(u *kingcuphook.Upstream, a *kingcuphook.Attempt, peer netip.Addr, c net.Conn) {
	if relayed, ok := c.(*relayer.Conn); ok && f.OnRelayed != nil {
		f.OnRelayed(u, a, peer, relayed.ID())
	}
}

// dialPeer opens a connection to an upstream through a peer.
func (f *Forwarder) dialPeer(ctx context.Context, u *kingcuphook.Upstream, peer netip.Addr) (net.Conn, error) {
	f.mu.Lock()
	f.relayed++
	id := fmt.Sprintf("%s-%d", f.Owner, f.relayed)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := f.Relayer.Dial(ctx, f.PeerAddress(peer), u.Program(), id)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// explain returns the error of a broken connection, joined with ErrPathLost if the path to the
// upstream is cut and not the upstream at fault.
func (f *Forwarder) explain(ctx context.Context, u *kingcuphook.Upstream, peer netip.Addr, err error) error {
	if f.Paths == nil || isLimit(err) {
		return err
	}
	if cause := context.Cause(ctx); cause != nil {
		// An attempt that was cancelled for its caller says nothing about the path.
		if !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded) {
			f.suspect(u, pathfinder.EvidenceSilent)
		}
		return err
	}
	f.recordLoss(u)
	if f.recheck(ctx, u, peer, pathfinder.EvidenceBroken, err) && !f.Paths.IsDown(u.Program()) {
		return fmt.Errorf("%w: %w", kingcuphook.ErrPathLost, err)
	}
	return err
}

// isLimit reports whether an error is that of a limit of this router, which an answer exceeded.
func isLimit(err error) bool {
	return errors.Is(err, kingcuphook.ErrTooLarge) || errors.Is(err, kingcuphook.ErrOutOfMemory) || errors.Is(err, transporter.ErrHead)
}

// explainDial returns the error of a connection that couldn't be opened, joined with ErrPathLost if
// the router's own links are in doubt and the upstream wasn't found down.
func (f *Forwarder) explainDial(u *kingcuphook.Upstream, err error) error {
	if f.Paths == nil || !f.Paths.InDoubt(time.Now()) || f.Paths.State(u.Program()) == pathfinder.StateDown {
		return err
	}
	return fmt.Errorf("%w: %w", kingcuphook.ErrPathLost, err)
}

// recheck records that an attempt failed on a path. It waits a short time for the verdict of a
// check, and reports whether the upstream is reached on another path.
func (f *Forwarder) recheck(ctx context.Context, u *kingcuphook.Upstream, peer netip.Addr, e pathfinder.Evidence, err error) bool {
	now := time.Now()
	var c *check
	switch {
	case peer.IsValid() && e == pathfinder.EvidenceDial:
		if f.Paths.PeerFailed(now, u, peer, isForAll(err)) {
			return true
		}
		c = f.startCheck(u, peer)
	case peer.IsValid():
		c = f.startCheck(u, peer)
	default:
		c = f.suspect(u, e)
	}
	if c != nil {
		f.awaitCheck(ctx, c, peer.IsValid())
	}
	return f.via(u) != peer
}

// isForAll reports whether the error of a dial through a peer means that the peer can carry no
// connection to any upstream. A dial that timed out may have done so beyond the peer.
func isForAll(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	return errors.Is(err, relayer.ErrCarriesNone) || errors.Is(err, kingcuphook.ErrNotSent) && !errors.Is(err, relayer.ErrRefused)
}

// awaitCheck waits a short time for the end of a check, longer if the attempt was relayed: the
// direct path is known to be cut then.
func (f *Forwarder) awaitCheck(ctx context.Context, c *check, relayed bool) {
	until := time.Now().Add(doubtWait)
	timer := time.NewTimer(checkWait)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ctx.Done():
			return
		case now := <-timer.C:
			if !now.Before(until) || !relayed && !f.Paths.InDoubt(now) {
				return
			}
			timer.Reset(checkWait)
		}
	}
}

// check is a running check of the path to an upstream.
type check struct{ done chan struct{} }

// suspect records evidence against the direct path to an upstream. It returns the running check
// of the upstream, which it starts unless one was made lately; nil if there is none.
func (f *Forwarder) suspect(u *kingcuphook.Upstream, e pathfinder.Evidence) *check {
	if f.Paths.Failed(time.Now(), u, e) {
		return f.startCheck(u, netip.Addr{})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checks[u.Program()]
}

// recordRefusal records that a program has ended if its address refused a direct connection.
func (f *Forwarder) recordRefusal(u *kingcuphook.Upstream, peer netip.Addr, err error) {
	if f.Paths != nil && !peer.IsValid() && errors.Is(err, syscall.ECONNREFUSED) {
		f.recordLoss(u)
		f.Paths.Gone(time.Now(), u)
	}
}

// InquireSilent returns what shows that an upstream from which a call got nothing since a time doesn't
// run it any more. It checks the path to the upstream unless that was done lately, and doesn't
// wait for the verdict.
func (f *Forwarder) InquireSilent(u *kingcuphook.Upstream, since time.Time) kingcuphook.SilenceEvidence {
	if f.Paths == nil {
		return kingcuphook.SilenceEvidenceNone
	}
	e, isDue := f.Paths.FindSilent(time.Now(), since, u)
	if isDue {
		f.suspect(u, pathfinder.EvidenceSilent)
	}
	return e
}

// startCheck starts a check of an upstream, unless one is running, and returns it. The peer is the
// one that is used now, if any, and asked first.
func (f *Forwarder) startCheck(u *kingcuphook.Upstream, peer netip.Addr) *check {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.checks[u.Program()]; c != nil {
		return c
	}
	if f.checks == nil {
		f.checks = make(map[kingcuphook.Program]*check)
	}
	c := &check{done: make(chan struct{})}
	f.checks[u.Program()] = c
	go func() {
		v := f.check(u, peer)
		f.Paths.Resolve(time.Now(), u, v)
		f.closeUnusedPaths(u)
		f.mu.Lock()
		delete(f.checks, u.Program())
		f.mu.Unlock()
		close(c.done)
	}()
	return c
}

// check probes an upstream directly and, unless it responds soon, through peers as well. If it was
// reached through a peer, the direct path was cut, and peers are asked at once.
func (f *Forwarder) check(u *kingcuphook.Upstream, current netip.Addr) pathfinder.Verdict {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	direct, relayed := make(chan bool, 1), make(chan pathfinder.Verdict, 1)
	go func() { direct <- f.probe(ctx, u, netip.Addr{}) == nil }()
	findPeer := sync.OnceFunc(func() { go func() { relayed <- f.findPeer(ctx, u, current) }() })
	begun := time.Now()
	if current.IsValid() || f.Paths.InDoubt(begun) {
		findPeer()
	}
	lead := time.AfterFunc(directLead, findPeer)
	defer lead.Stop()
	select {
	case ok := <-direct:
		if ok {
			return pathfinder.Verdict{Direct: true}
		}
		findPeer()
		return <-relayed
	case v := <-relayed:
		if !v.Peer.IsValid() {
			v.Direct = <-direct
			return v
		}
		// The way through a peer takes longer, so that the direct one has failed if it responds
		// much later.
		grace := time.NewTimer(max(time.Since(begun)/2, minGrace))
		defer grace.Stop()
		select {
		case v.Direct = <-direct:
		case <-grace.C:
		}
		return v
	}
}

// findPeer looks for a peer through which an upstream responds. The verdict is confirmed if there is
// none, and a peer has found itself that it doesn't reach the upstream.
func (f *Forwarder) findPeer(ctx context.Context, u *kingcuphook.Upstream, current netip.Addr) pathfinder.Verdict {
	confirmed := false
	peers := f.usablePeers(u, current)
	for range checkRounds {
		round := peers[:min(len(peers), peersPerRound)]
		peers = peers[len(round):]
		found := make(chan probed, len(round))
		for _, peer := range round {
			go func() { found <- probed{peer: peer, err: f.probe(ctx, u, peer)} }()
		}
		for range round {
			p := <-found
			if p.err == nil {
				return pathfinder.Verdict{Peer: p.peer}
			}
			confirmed = confirmed || errors.Is(p.err, relayer.ErrUnreached)
		}
	}
	return pathfinder.Verdict{Confirmed: confirmed}
}

// probed is the result of a probe through a peer.
type probed struct {
	peer netip.Addr
	err  error
}

// usablePeers returns the peers to be asked for a path to an upstream, the current one first.
func (f *Forwarder) usablePeers(u *kingcuphook.Upstream, current netip.Addr) []netip.Addr {
	now := time.Now()
	var list []netip.Addr
	if current.IsValid() && f.Paths.Usable(now, current, u.Program()) {
		list = append(list, current)
	}
	for _, peer := range f.Peers(u) {
		if peer != current && f.Paths.Usable(now, peer, u.Program()) {
			list = append(list, peer)
		}
	}
	return list
}

// probe returns an error unless an upstream responds on a new connection, directly or through a peer.
// A connection through a peer stays open for the next request. A timeout that passed while this router
// itself got too little processor time is no evidence, so that the probe is repeated.
func (f *Forwarder) probe(ctx context.Context, u *kingcuphook.Upstream, peer netip.Addr) error {
	for repeats := 0; ; repeats++ {
		keeper := timekeeper.Start()
		err := f.probeOnce(ctx, u, peer)
		if keeper.Excuses(err) && repeats < maxRepeats && ctx.Err() == nil {
			continue
		}
		if err != nil {
			f.recordProbeFailure(u, peer, err)
		}
		return err
	}
}

// recordProbeFailure records what a failed probe shows about the upstream and the peer.
func (f *Forwarder) recordProbeFailure(u *kingcuphook.Upstream, peer netip.Addr, err error) {
	f.recordRefusal(u, peer, err)
	if peer.IsValid() && !errors.Is(err, context.Canceled) {
		f.Paths.Avoid(time.Now(), u, peer, isForAll(err))
	}
}

// probeOnce is probe without repeats. It records nothing.
func (f *Forwarder) probeOnce(ctx context.Context, u *kingcuphook.Upstream, peer netip.Addr) error {
	timeout := probeTimeout
	if peer.IsValid() {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := (&http.Request{
		Method: http.MethodGet,
		URL:    requestURL(u.Address(), f.ProbePath),
		Header: http.Header{"User-Agent": {""}},
	}).WithContext(ctx)
	transport := f.transport(u, peer)
	if !peer.IsValid() {
		transport = f.newProbeTransport()
	}
	resp, _, err := transporter.Send(r, transport.RoundTrip)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBytes))
	return err
}

// maxProbeBytes limits how much of the response to a probe is read.
const maxProbeBytes = 1 << 20

// newProbeTransport returns a transport for one probe of a direct path.
func (f *Forwarder) newProbeTransport() *http.Transport {
	return transporter.Transporter{
		DialTimeout: probeTimeout, KeepAlive: keepAliveInterval, DisableKeepAlives: true, LocalAddress: f.LocalAddress,
	}.New()
}

// closeUnusedPaths closes the idle connections to an upstream on the paths that aren't used now.
func (f *Forwarder) closeUnusedPaths(u *kingcuphook.Upstream) {
	used := f.via(u)
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, t := range f.transports {
		if k.program != u.Program() || k.peer == used {
			continue
		}
		t.CloseIdleConnections()
		if k.peer.IsValid() {
			delete(f.transports, k)
		}
	}
}

// LeavePeer closes the idle connections through a peer. Requests that use others go on.
func (f *Forwarder) LeavePeer(peer netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, t := range f.transports {
		if k.peer == peer {
			t.CloseIdleConnections()
			delete(f.transports, k)
		}
	}
}

// WatchPaths checks upstreams from which nothing is received, and probes the direct paths that are
// cut, until ctx ends.
func (f *Forwarder) WatchPaths(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, u := range slices.Concat(f.Paths.Silent(now), f.Paths.SlowDials(now)) {
				f.startCheck(u, netip.Addr{})
			}
			for _, u := range f.Paths.Due(now) {
				go f.probeDirect(ctx, u)
			}
		}
	}
}

// probeDirect probes the direct path to an upstream that is cut.
func (f *Forwarder) probeDirect(ctx context.Context, u *kingcuphook.Upstream) {
	direct := f.probe(ctx, u, netip.Addr{}) == nil
	f.Paths.ProbeDone(time.Now(), u, direct)
	if direct {
		f.closeUnusedPaths(u)
	}
}
