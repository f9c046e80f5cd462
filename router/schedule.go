package router

import (
	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/composer"
)

// newScheduler returns a new scheduler for one pool.
func (r *Router) newScheduler(string) kingcuphook.Scheduler {
	c := composer.Composer{
		Region:     r.Settings.Node.Region,
		DataCentre: r.Settings.Node.DataCentre,
		Seed:       r.newRand().Uint64(),
	}
	s := c.Compose()
	s.Permits = r.permits
	return s
}
