package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/parser"
	"github.com/kingcuphook/kingcuphook/router"
)

// anyPort is a loopback address whose port the system chooses.
const anyPort = "127.0.0.1:0"

// tryToken is the operators' token of the try command, which listens on
// loopback only.
const tryToken = "try-operators-token"

// Example tables. The pools hold a placeholder for the address of each upstream.
var (
	//go:embed example-routes.toml
	exampleRoutes string
	//go:embed example-pools.toml
	examplePools string
)

type tryCommand struct {
	Callers   string `long:"callers" default:"127.0.0.1:8080" description:"Address of the callers' API; another port is taken if it is in use"`
	Operators string `long:"operators" default:"127.0.0.1:8081" description:"Address of the operators' API; another port is taken if it is in use"`
	Verbose   bool   `short:"v" long:"verbose" description:"Log events"`
}

// Execute implements flags.Commander.
func (c *tryCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	// The stand-ins must outlive the router, whose graceful shutdown uses them.
	standInCtx, stopStandIns := context.WithCancel(context.Background())
	defer stopStandIns()
	store := &storer.Store{}
	platform, err := servePlatform(standInCtx, anyPort, store)
	if err != nil {
		return err
	}
	tables, err := serveExampleUpstreams(standInCtx)
	if err != nil {
		return err
	}
	if err := applyExampleTables(ctx, store, tables); err != nil {
		return err
	}
	r, err := c.listen(platform)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	if err := waitReady(ctx, r, done); err != nil {
		return err
	}
	printExamples(r)
	return <-done
}

// serveExampleUpstreams serves three engines and a plain service, and returns the
// text of the example pools with their addresses.
func serveExampleUpstreams(ctx context.Context) (string, error) {
	pools := examplePools
	for _, name := range []string{"ENGINE-1", "ENGINE-2", "ENGINE-3", "SERVICE-1"} {
		address, err := serveUpstream(ctx, anyPort, &responder.Upstream{})
		if err != nil {
			return "", err
		}
		pools = strings.ReplaceAll(pools, name, address)
	}
	return pools, nil
}

func applyExampleTables(ctx context.Context, store kingcuphook.Store, poolsText string) error {
	routes, err := parser.ParseRoutes("routes", []byte(exampleRoutes))
	if err != nil {
		return err
	}
	pools, err := parser.ParsePools("pools", []byte(poolsText))
	if err != nil {
		return err
	}
	e := editor.Editor{Store: store}
	_, err = e.Apply(ctx, editor.Edit{Author: "try", Base: editor.BaseNewest, Routes: routes, Pools: pools})
	return err
}

// listen returns a router that listens on the addresses of the options, or on any
// free ports if one of them is in use.
func (c *tryCommand) listen(platform string) (*router.Router, error) {
	r, err := c.listenOn(platform, c.Callers, c.Operators)
	if errors.Is(err, syscall.EADDRINUSE) {
		return c.listenOn(platform, anyPort, anyPort)
	}
	return r, err
}

func (c *tryCommand) listenOn(platform, callers, operators string) (*router.Router, error) {
	s := configurer.Default()
	s.Node = configurer.Node{Region: "cairo", DataCentre: "cairo-1"}
	s.Listen = configurer.Listen{Callers: callers, Operators: operators, Admin: anyPort, Peers: anyPort}
	s.Platform.Address = platform
	s.TLS.PlainText = true
	s.Operators.Token = tryToken
	s.Stop.DrainDelay = 0
	log := logger.New(os.Stderr, s.Log.Format, logger.LevelInfo)
	if !c.Verbose {
		log = nil
	}
	r := &router.Router{Settings: &s, Log: log}
	if err := r.Listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// readyTimeout limits the wait until a started router is ready.
const readyTimeout = 10 * time.Second

func waitReady(ctx context.Context, r *router.Router, done <-chan error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for !r.Ready() {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return fmt.Errorf("the router did not become ready: %w", kingcuphook.ErrUnavailable)
		case <-ticker.C:
		}
	}
	return nil
}

func printExamples(r *router.Router) {
	fmt.Fprintf(stdout, `kingcuphook is ready. A call, a stream and a redemption:

curl -H 'X-Class: till' -H 'X-Organisation: cafe-1' -d '{"model":"small","messages":[{"role":"user","content":"Hello"}]}' http://%[1]s/v1/chat/completions
curl -N -H 'X-Class: till' -H 'X-Organisation: cafe-1' -d '{"model":"small","stream":true,"messages":[{"role":"user","content":"Hello"}]}' http://%[1]s/v1/chat/completions
curl -H 'X-Organisation: cafe-1' -H 'Idempotency-Key: cup-1' -d '{"token":"cup-1"}' http://%[1]s/redemptions

The operators' side:

export KINGCUPHOOK_API=%[2]s KINGCUPHOOK_TOKEN=%[3]s
go run ./cmd/kingcuphook status
go run ./cmd/kingcuphook routes get

Metrics: http://%[4]s/metrics. Stop with Ctrl-C: requests in progress end whole.
`, r.CallersAddress(), r.OperatorsAddress(), tryToken, r.AdminAddress())
}

// splitComma returns the substrings of s between commas.
func splitComma(s string) []string { return strings.Split(s, ",") }
