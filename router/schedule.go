package router

import (
	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/admitter"
	"github.com/kingcuphook/kingcuphook/ejector"
	"github.com/kingcuphook/kingcuphook/limiter"
	"github.com/kingcuphook/kingcuphook/predictor"
	"github.com/kingcuphook/kingcuphook/preemptor"
	"github.com/kingcuphook/kingcuphook/scheduler"
	"github.com/kingcuphook/kingcuphook/selector"
)

// newScheduler returns the scheduler of one pool.
func (r *Router) newScheduler(string) kingcuphook.Scheduler {
	limits := &limiter.Limiter{Rand: r.newRand()}
	ejects := &ejector.Ejector{}
	return &scheduler.Scheduler{
		Admitter:  &admitter.Admitter{},
		Limiter:   limits,
		Selector:  &selector.Selector{Region: r.Settings.Node.Region, DataCentre: r.Settings.Node.DataCentre},
		Ejector:   ejects,
		Predictor: &predictor.Predictor{},
		Preemptor: &preemptor.Preemptor{},
	}
}
