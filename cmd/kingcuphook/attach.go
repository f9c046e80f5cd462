package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/kingcuphook/kingcuphook/attacher"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/platform"
)

// logQueue is how many log lines may wait to be written.
const logQueue = 4096

// gcPercent has memory collected more often than usual: VMs have little of it, and
// processor time to spare.
const gcPercent = 40

type attachCommand struct {
	Settings string `short:"s" long:"settings" env:"KINGCUPHOOK_SETTINGS" default:"/etc/kingcuphook/settings.json" description:"File of settings that the platform writes"`
	Level    string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level of log lines"`
}

// Execute implements flags.Commander.
func (c *attachCommand) Execute([]string) error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	queue := logger.NewQueue(os.Stdout, logQueue)
	log := logger.New(queue, "logfmt", logger.Level(c.Level))
	written, endLog := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { queue.Run(written) })
	defer wg.Wait()
	defer endLog()
	ctx, cancel := stopSignal()
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go c.reload(ctx, log, hup)
	return (&attacher.Attacher{Settings: settings, Log: log, Dropped: queue.Dropped}).Run(ctx)
}

// reload reads the settings again at each SIGHUP. What a router takes from them
// stays the same while its process runs, so that they are only checked.
func (c *attachCommand) reload(ctx context.Context, log *logger.Logger, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if _, err := platform.LoadSettings(c.Settings); err != nil {
			log.Log(logger.SettingsRejected, "error", err)
			continue
		}
		log.Log(logger.SettingsChecked, "file", c.Settings)
	}
}
