package permitter

import (
	"context"
	"time"
)

const (
	// messageInterval is how often requests for permits are sent while an upstream has a rate
	// limit, placesInterval how often places are looked at while one is brittle, and
	// idlePlacesInterval that while places are unused for which other routers wait.
	messageInterval    = 100 * time.Millisecond
	placesInterval     = 20 * time.Millisecond
	idlePlacesInterval = contendedIdleTime
)

// Run passes the requests for permits to send when they are due, until ctx ends.
func (p *Permitter) Run(ctx context.Context, send func(Message)) {
	for {
		var tick <-chan time.Time
		switch {
		case p.placesCount.Load() > 0:
			tick = time.After(p.placesInterval(time.Now()))
		case p.count.Load() > 0:
			tick = time.After(messageInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick:
		case <-p.wakeChannel():
		}
		for _, m := range p.Messages(time.Now()) {
			send(m)
		}
	}
}

// placesInterval returns after which time places are to be looked at.
func (p *Permitter) placesInterval(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.places {
		if l.contended && l.idle(now) > 0 {
			return idlePlacesInterval
		}
	}
	return placesInterval
}

// wake makes Run send the requests that are due at once.
func (p *Permitter) wake() {
	select {
	case p.wakeChannel() <- struct{}{}:
	default:
	}
}

func (p *Permitter) wakeChannel() chan struct{} {
	p.wakeOnce.Do(func() { p.due = make(chan struct{}, 1) })
	return p.due
}
