package main

import (
	"time"

	"github.com/kingcuphook/kingcuphook/measurer"
)

type measureCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds    int           `long:"seeds" default:"20" description:"Number of seeds"`
	Cases    string        `long:"cases" description:"File of cases; the built-in one if left out"`
	Case     []string      `long:"case" description:"Only the case of this name; may be repeated"`
	Policies []string      `long:"policy" description:"Only the policy of this name; may be repeated"`
	Ablate   bool          `long:"ablate" description:"Run the policy once more without each mechanism"`
	Horizon  time.Duration `long:"horizon" description:"Shorten the time of arrivals"`
	Check    bool          `long:"check" description:"List the stated targets that were missed"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	return measurer.Run(measurer.Options{
		Seed:      c.Seed,
		Seeds:     c.Seeds,
		CasesFile: c.Cases,
		Cases:     c.Case,
		Policies:  c.Policies,
		Ablate:    c.Ablate,
		Horizon:   c.Horizon,
		Check:     c.Check,
	}, stdout)
}
