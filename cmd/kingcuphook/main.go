// Command kingcuphook runs a router for language-model traffic with service levels.
// It is also the operators' command-line client.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/kingcuphook/kingcuphook"
)

// Exit codes.
const (
	exitOK = iota
	// exitFailure stands for every failure without an exit code of its own.
	exitFailure
	// exitUsage stands for a wrong command line or rejected input.
	exitUsage
	// exitConflict stands for an edit that conflicts with another.
	exitConflict
	// exitUnknown stands for an edit whose outcome is unknown.
	exitUnknown
	// exitUnavailable stands for a router or store that can't be reached.
	exitUnavailable
)

// options holds the options that all commands share.
type options struct {
	API       string `long:"api" env:"KINGCUPHOOK_API" default:"127.0.0.1:8081" description:"IP number and port of a router's operators' API"`
	TLS       bool   `long:"tls" env:"KINGCUPHOOK_API_TLS" description:"Call the operators' API over TLS"`
	Authority string `long:"authority" env:"KINGCUPHOOK_API_AUTHORITY" description:"With --tls: file with what the API's certificate must be signed by; the system's authorities if left out"`
	TokenFile string `long:"token-file" env:"KINGCUPHOOK_TOKEN_FILE" description:"File with the operators' token"`
	Token     string `long:"token" env:"KINGCUPHOOK_TOKEN" default-mask:"-" description:"The operators' token itself; prefer the file or the environment"`
	Author    string `long:"author" env:"USER" description:"Who makes an edit"`
}

var globalOptions options

// The standard streams of the commands; tests replace them.
var (
	stdin  io.Reader = os.Stdin
	stdout io.Writer = os.Stdout
	stderr io.Writer = os.Stderr
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the command line and returns the exit code.
func run(args []string) int {
	parser := newParser()
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return exitOK
		}
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "kingcuphook:", err)
	return exitCode(err)
}

func newParser() *flags.Parser {
	globalOptions = options{}
	parser := flags.NewNamedParser("kingcuphook", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for language-model traffic"
	parser.LongDescription = "Routes requests to language models by service level. Operators edit two tables, routes and pools; the router owns the outcome. Exit codes: 0 done, 1 failed, 2 wrong command line or refused input, 3 conflict with another edit, 4 outcome unknown, 5 router or store unavailable."
	must(parser.AddGroup("Options", "", &globalOptions))
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"serve", "run a router", "Runs a router until SIGTERM or SIGINT, then stops as planned: requests in progress end whole.", &serveCommand{}},
		{"attach", "run a router on a host platform", "Runs a router that takes its settings, tables and upstreams from the platform it runs on and passes calls on as they came. SIGTERM stops it as planned.", &attachCommand{}},
		{"routes", "show and edit the table of routes", "Shows and edits the table of routes.", newTableCommand("routes")},
		{"pools", "show and edit the table of pools", "Shows and edits the table of pools.", newTableCommand("pools")},
		{"patch", "put or remove single rows of the tables", "Puts single rows into the tables or removes them, as one edit. A row that is there is replaced.", &patchCommand{}},
		{"outcome", "show what became of an edit", "Shows whether an edit was accepted or refused, by its identifier.", &outcomeCommand{}},
		{"status", "show the state of a router", "Shows the state of a router, its peers, pools and upstreams.", &statusCommand{}},
		{"explain", "show the path of a request", "Shows the path of a request through the router: class, tier, queue, candidates, attempts, outcome.", &explainCommand{}},
		{"where", "show where a request would go", "Asks a router on a host platform where a described request would go now, and why. The request is not sent, and the question has no influence on others.", &whereCommand{}},
		{"quarantine", "show and lift quarantines", "Shows the request bodies that are refused because they crashed upstreams, or lifts one.", &quarantineCommand{}},
		{"check", "validate settings and tables", "Validates files of settings, routes or pools. Routes and pools given together are checked against each other.", &checkCommand{}},
		{"measure", "measure the policy", "Measures the policy and its baselines on a fake engine, in virtual time; the same seed gives the same figures.", &measureCommand{}},
		{"stand-in", "run stand-ins of the platform and of upstreams", "Runs a stand-in of the platform and stand-in upstreams on loopback.", &standInCommand{}},
		{"soak", "run routers under faults", "Runs routers as processes of their own with stand-ins of the platform and of upstreams, injects faults drawn from a seed, and checks what callers and upstreams see.", &soakCommand{}},
		{"try", "run everything in one process", "Runs a router with stand-ins and example tables in one process, and prints a call that works.", &tryCommand{}},
		{"completion", "print the shell completion", "Prints a completion script for bash.", &completionCommand{}},
	} {
		must(parser.AddCommand(c.name, c.short, c.long, c.data))
	}
	return parser
}

// must panics on an error, which only an invalid declaration of commands or options
// can cause.
func must(_ any, err error) {
	if err != nil {
		panic(err)
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, kingcuphook.ErrOutcomeUnknown):
		return exitUnknown
	case errors.Is(err, kingcuphook.ErrConflict):
		return exitConflict
	case errors.Is(err, kingcuphook.ErrInvalid), errors.Is(err, kingcuphook.ErrNotFound):
		return exitUsage
	case errors.Is(err, kingcuphook.ErrUnavailable):
		return exitUnavailable
	default:
		return exitFailure
	}
}

// signalContext returns a context that ends on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
