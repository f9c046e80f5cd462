package attacher

import (
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/dispatcher"
	"github.com/kingcuphook/kingcuphook/logger"
)

// moveStreams begins to move the streams off the upstreams that have announced when they leave.
func (c *control) moveStreams(now time.Time, t *kingcuphook.Tables) {
	if t == nil {
		return
	}
	for _, p := range t.Pools() {
		c.a.dispatcher.MoveStreams(now, p)
	}
}

// logMove logs the result of a move.
func (a *Attacher) logMove(m dispatcher.MoveOutcome) {
	target := ""
	if m.Target != nil {
		target = m.Target.Address()
	}
	switch {
	case m.Moved:
		a.Log.Log(logger.StreamMoved, "request", m.Request.ID(), "pool", m.Request.Pool(), "route", m.Request.Class(), "tier", int(m.Request.Tier()),
			"source", m.Source.Address(), "target", target)
	case m.Err != nil:
		a.Log.Log(logger.StreamMoveFailed, "request", m.Request.ID(), "pool", m.Request.Pool(), "route", m.Request.Class(), "tier", int(m.Request.Tier()),
			"source", m.Source.Address(), "target", target, "error", m.Err)
	}
}
