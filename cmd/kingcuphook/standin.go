package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
)

// standInHeaderTimeout limits reading the headers of a request to a stand-in
// upstream.
const standInHeaderTimeout = 5 * time.Second

type standInCommand struct {
	Platform  string   `long:"platform" default:"127.0.0.1:7000" description:"Address of the stand-in of the platform"`
	Upstreams []string `long:"upstream" description:"Address of a stand-in upstream; may be repeated"`
	VMs       []string `long:"vm" description:"Router in the list of VMs, as ADDRESS,REGION,DATA-CENTRE; may be repeated"`
	Slots     int      `long:"slots" default:"8" description:"Requests that an upstream runs at once"`
	StepMS    int      `long:"step-ms" default:"20" description:"Time between tokens in milliseconds"`
}

// Execute implements flags.Commander.
func (c *standInCommand) Execute([]string) error {
	vms, err := parseVMs(c.VMs)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	store := &storer.Store{}
	store.SetVMs(vms)
	address, err := servePlatform(ctx, c.Platform, store)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, "platform", address)
	for _, u := range c.Upstreams {
		step := time.Duration(c.StepMS) * time.Millisecond
		address, err := serveUpstream(ctx, u, &responder.Upstream{Slots: c.Slots, StepTime: step})
		if err != nil {
			return err
		}
		fmt.Fprintln(stdout, "upstream", address)
	}
	<-ctx.Done()
	return nil
}

// vmFieldCount is the number of comma-separated fields of a --vm option.
const vmFieldCount = 3

func parseVMs(texts []string) ([]kingcuphook.VM, error) {
	vms := make([]kingcuphook.VM, 0, len(texts))
	for _, t := range texts {
		fields := splitComma(t)
		if len(fields) != vmFieldCount {
			return nil, fmt.Errorf("--vm %q is not ADDRESS,REGION,DATA-CENTRE: %w", t, kingcuphook.ErrInvalid)
		}
		vms = append(vms, kingcuphook.NewVM(fields[0], fields[1], fields[2], kingcuphook.VMStateLive))
	}
	return vms, nil
}

// servePlatform serves a stand-in of the platform until ctx ends and returns its
// address.
func servePlatform(ctx context.Context, address string, store *storer.Store, opts ...grpc.ServerOption) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	g := grpc.NewServer(append(opts, grpc.MaxRecvMsgSize(2*kingcuphook.MaxValueBytes))...)
	(&storer.Server{Store: store}).Register(g)
	go func() { _ = g.Serve(l) }()
	context.AfterFunc(ctx, g.Stop)
	return l.Addr().String(), nil
}

// serveUpstream serves a stand-in upstream until ctx ends and returns its address.
func serveUpstream(ctx context.Context, address string, u *responder.Upstream) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: u, ReadHeaderTimeout: standInHeaderTimeout}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(stdout, "stand-in:", err)
		}
	}()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return l.Addr().String(), nil
}
