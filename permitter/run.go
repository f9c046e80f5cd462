package permitter

import (
	"context"
	"time"
)

// messageInterval is how often requests for permits are sent while an upstream has a rate
// limit.
const messageInterval = 100 * time.Millisecond

// Run passes the requests for permits to send when they are due, until ctx ends.
func (p *Permitter) Run(ctx context.Context, send func(Message)) {
	for {
		var tick <-chan time.Time
		if p.count.Load() > 0 {
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
