package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/kingcuphook/kingcuphook/soaker"
)

type soakCommand struct {
	Seed      uint64        `long:"seed" default:"1" description:"Seed of the first run"`
	Seeds     int           `long:"seeds" default:"1" description:"How many runs, each with the next seed"`
	For       time.Duration `long:"for" default:"20s" description:"How long faults are injected in a run"`
	Routers   int           `long:"routers" default:"4" description:"Router processes"`
	Upstreams int           `long:"upstreams" default:"4" description:"Stand-in upstreams"`
	Callers   int           `long:"callers" default:"16" description:"Callers that call at once"`
	Changes   bool          `long:"changes" description:"Also change the declaration, empty pools, silence upstreams and stop routers with long streams"`
	Versions  int           `long:"versions" description:"Software versions of the upstreams at the beginning; with one or more, streams are resumed, upstreams released and all routers killed"`
	Odd       bool          `long:"odd" description:"Also write odd entries to the store, have upstreams write refusals once more, cut the heads of answers, send bytes without end and, without versions, break streams and answer with something else"`
	Cuts      bool          `long:"cuts" description:"Also cut routers off from upstreams, and silence sound upstreams for longer"`
	Duties    bool          `long:"duties" description:"Also give routers the duties that one of them has at a time, and inject faults of their API and of their holder"`
	Previous  string        `long:"previous" description:"Program of an earlier build, which the routers begin with; each start of a router switches between the two"`
	Host      int           `long:"host" default:"1" description:"Third byte of the loopback addresses; differs between runs beside one another"`
	Keep      string        `long:"keep" description:"Directory for settings and logs; a temporary one if left out, which is kept if a promise is broken"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	var failed error
	for i := range c.Seeds {
		if err := c.runSeed(ctx, binary, c.Seed+uint64(i)); err != nil {
			failed = err
		}
	}
	return failed
}

func (c *soakCommand) runSeed(ctx context.Context, binary string, seed uint64) error {
	dir := c.Keep
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "kingcuphook-soak-")
		if err != nil {
			return err
		}
		dir = tempDir
	}
	s := &soaker.Soak{
		Binary: binary, Seed: seed, FaultTime: c.For, Routers: c.Routers, Upstreams: c.Upstreams, Callers: c.Callers, Changes: c.Changes, Versions: c.Versions, Odd: c.Odd, Cuts: c.Cuts, Duties: c.Duties, Previous: c.Previous, Dir: dir, Host: c.Host,
	}
	result, err := s.Run(ctx)
	fmt.Fprintf(stdout, "seed %d: %v\n", seed, result)
	if err != nil {
		for _, e := range result.Faults {
			fmt.Fprintln(stdout, "  ", e)
		}
		fmt.Fprintf(stdout, "%v\nlogs in %s\n", err, dir)
		return fmt.Errorf("seed %d: %w", seed, err)
	}
	if c.Keep == "" {
		return os.RemoveAll(dir)
	}
	return nil
}
