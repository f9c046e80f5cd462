package prover

import (
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
)

// bubble runs each script of a testscript run in its own synctest bubble, one after
// another. Its Parallel method does nothing.
type bubble struct{ *testing.T }

func (b bubble) Parallel() {}

func (b bubble) Verbose() bool { return testing.Verbose() }

func (b bubble) Run(name string, f func(testscript.T)) {
	b.T.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(bubble{t}) })
	})
}

// TestScenarios runs the scripts in testdata/scenarios. Each begins with the failure that
// it covers and what must hold.
func TestScenarios(t *testing.T) {
	testscript.RunT(bubble{t}, testscript.Params{
		Dir:   "testdata/scenarios",
		Cmds:  Commands(),
		Setup: Setup,
	})
}
