package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/kingcuphook/kingcuphook/attacher"
	"github.com/kingcuphook/kingcuphook/hedger"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform"
)

// logQueueSize limits the log lines that are queued to be written.
const logQueueSize = 4096

// gcPercent makes the garbage collector run more often than by default, because
// VMs have little memory but spare processor time.
const gcPercent = 40

// memoryLimitShare is the share of the memory of the VM from which on the garbage collector runs as
// often as it needs to. The rest is for what the runtime doesn't count, such as the program itself.
const memoryLimitShare = 0.8

type attachCommand struct {
	FleetFairness bool    `long:"fleet-fairness" description:"Serve the organisations of a tier equal numbers of tokens over all routers, not at each router"`
	HedgeRequests float64 `long:"hedge-requests" default:"0" description:"Limit of hedged requests as a share of all requests, 0 to 0.2; 0 means none"`
	HedgeTokens   float64 `long:"hedge-tokens" default:"0" description:"Limit of their prompt tokens as a share of those of all requests, 0 to 0.2; 0 means no hedges"`
	KVMemory      bool    `long:"kv-memory" description:"Bound the requests at engines by their KV memory, in pools that declare its capacity"`
	Settings      string  `short:"s" long:"settings" env:"KINGCUPHOOK_SETTINGS" default:"/etc/kingcuphook/settings.json" description:"File of settings that the platform writes"`
	Level         string  `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level of log lines"`
}

// Execute implements flags.Commander.
func (c *attachCommand) Execute([]string) error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	hedges, err := hedger.New(c.HedgeRequests, c.HedgeTokens)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if memory := settings.Memory(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
	queue := logger.NewQueue(os.Stdout, logQueueSize)
	log := logger.New(queue, "logfmt", logger.Level(c.Level))
	logCtx, stopLog := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { queue.Run(logCtx) })
	defer wg.Wait()
	defer stopLog()
	ctx, cancel := signalContext()
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	a := &attacher.Attacher{
		Settings: settings, Hedges: hedges, FleetFairness: c.FleetFairness, BoundsKVMemory: c.KVMemory, Log: log, Dropped: queue.Dropped,
	}
	go c.reload(ctx, log, hup, a.Reload)
	return a.Run(ctx)
}

// reload reads the settings again on each SIGHUP, logs whether they are valid, and passes them on
// if they are.
func (c *attachCommand) reload(ctx context.Context, log *logger.Logger, hup <-chan os.Signal, pass func(*platform.Settings)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		settings, err := platform.LoadSettings(c.Settings)
		if err != nil {
			log.Log(logger.SettingsRejected, "error", err)
			continue
		}
		pass(settings)
		log.Log(logger.SettingsChecked, "file", c.Settings)
	}
}
