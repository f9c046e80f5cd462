package permitter

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxIssuers is the number of routers that can issue the permits of an upstream: the
	// first by rendezvous hashing and its substitute. More could exceed a limit together.
	maxIssuers = 2
	// maxTimeouts is the number of requests without a reply after which a router is not
	// asked for timeoutPause. One that declined is not asked for declinePause.
	maxTimeouts  = 2
	timeoutPause = 3 * time.Second
	declinePause = 2 * time.Second
)

// peer is what this router knows about the replies of another one.
type peer struct {
	timeouts int
	// avoidUntil is until when the router is not asked.
	avoidUntil time.Time
	// away means that it did not answer, or declined, since it last answered.
	away bool
	// pingedAt is when it was last asked whether it is there; zero if it has answered.
	pingedAt time.Time
}

func (p *peer) recordTimeout(now time.Time) {
	p.timeouts++
	if p.timeouts >= maxTimeouts {
		p.timeouts = 0
		p.away = true
		p.avoidUntil = now.Add(timeoutPause)
	}
}

func (p *peer) recordDecline(now time.Time) {
	p.away = true
	p.avoidUntil = now.Add(declinePause)
}

func (p *peer) recordReply() { p.timeouts, p.away, p.pingedAt = 0, false, time.Time{} }

// peer returns the state of another router. The caller holds mu.
func (p *Permitter) peer(address string) *peer {
	if s := p.peers[address]; s != nil {
		return s
	}
	if p.peers == nil {
		p.peers = make(map[string]*peer)
	}
	s := &peer{}
	p.peers[address] = s
	return s
}

// issues reports whether this router issues permits. The caller holds mu.
func (p *Permitter) issues(now time.Time) bool {
	return !p.stopping && !p.started.IsZero() && now.Sub(p.started) >= settleTime
}

// ranking has the first routers for a key by rendezvous hashing, which are the issuer and its
// substitute, as of generation.
type ranking struct {
	ranked     []string
	generation int
}

// issuerOf returns the router to ask for permits of an upstream; empty if there is none. It
// renews the ranking for the key. The caller holds mu.
func (p *Permitter) issuerOf(now time.Time, key uint64, r *ranking) string {
	if r.ranked == nil || r.generation != p.generation {
		r.ranked, r.generation = rank(key, p.routers), p.generation
	}
	for _, address := range r.ranked {
		switch s := p.peers[address]; {
		case address == p.Self:
			if p.issues(now) {
				return address
			}
		case s == nil || !now.Before(s.avoidUntil):
			return address
		}
	}
	return ""
}

// rank returns the first routers for a key by rendezvous hashing.
func rank(key uint64, routers []string) []string {
	ranked := slices.Clone(routers)
	scores := make(map[string]uint64, len(routers))
	for _, address := range routers {
		scores[address] = score(key, address)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), maxIssuers)]
}

func score(key uint64, address string) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(address), key))
}
