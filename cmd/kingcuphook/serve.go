package main

import (
	"os"

	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/router"
)

type serveCommand struct {
	Settings string `short:"s" long:"settings" env:"KINGCUPHOOK_SETTINGS" default:"kingcuphook.toml" description:"File of settings"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	settings, err := (&configurer.Configurer{File: c.Settings}).Load()
	if err != nil {
		return err
	}
	log := logger.New(os.Stderr, settings.Log.Format, logger.Level(settings.Log.Level))
	r := &router.Router{Settings: settings, Log: log}
	if err := r.Listen(); err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	return r.Run(ctx)
}
