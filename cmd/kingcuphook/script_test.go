package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/emulator/responder"
	"github.com/kingcuphook/kingcuphook/emulator/signer"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/parser"
	"github.com/kingcuphook/kingcuphook/router"
)

// scriptTimeout bounds whatever a script waits for.
const scriptTimeout = 20 * time.Second

// slowStore is the time of a call while the store is slow.
const slowStore = 300 * time.Millisecond

// claimedPause is when a caller comes back for an outcome that is not known yet.
const claimedPause = time.Second

// pollPause is the time between two looks at what a script waits for.
const pollPause = 50 * time.Millisecond

// regions are those of the routers of a fleet, in order.
var regions = []string{"cairo", "alex", "upper"}

// fleet is what one script works on.
type fleet struct {
	store     *storer.Store
	platform  string
	upstreams []*responder.Upstream
	addresses []string
	pools     string
	routers   []*member
	stream    chan string
	load      *load
	// mu guards routers while a load looks at them.
	mu sync.Mutex
	// files are the certificates of a fleet with TLS, else empty.
	files signer.Files
	http  *http.Client
	// begun has the runs of each upstream as last counted.
	begun []int
	// losesReplies makes the store lose the replies of its writes.
	losesReplies atomic.Bool
}

// member is one router of a fleet.
type member struct {
	router *router.Router
	ctx    context.Context
	stop   context.CancelFunc
	ended  chan error
}

type fleetKey struct{}

// TestScripts runs the scenarios of testdata/script. Their commands:
//
//	fleet N            starts N routers before three engines and a service
//	fleet N tls        the same with TLS everywhere
//	kingcuphook ARG... runs the command line against the first router
//	attempt ARG...     is kingcuphook, whatever the exit code
//	call N CLASS TEXT  calls router N and prints status and body
//	limited N          calls router 0 N times and prints how many passed
//	stream N TEXT      begins a stream on router N and returns at its first token
//	rest               prints what is left of the stream
//	redeem N KEY BODY  calls the redemption service through router N
//	store STATE        makes the store up, down, slow or lose-reply
//	restart N          starts router N again after a planned stop
//	shutdown N         stops router N as planned, in the background
//	stopped N          waits until router N has stopped without an error
//	crash N            crashes upstream N
//	crashes            prints how often upstreams crashed
//	runs KEY           prints how often the service ran the key
//	serving MODEL N    waits until N engines follow an order for the model
//	keys PREFIX        prints how many keys of the store begin so
//	forget             makes all engines forget their orders
//	load begin|end     calls the routers that a balancer thinks ready, and prints
//	                   how many calls were made and what failed
//	leave N WHO        makes upstream N leave, as itself or the vm-list says
//	settle D           waits for D
//	until-leaving N    waits until router 0 knows that upstream N leaves
//	count              notes what the upstreams have run so far
//	calls N COUNT      calls router N so often and wants every answer whole
//	idle N             wants upstream N to have begun nothing since count
//	replace FILE A B   replaces the first A in FILE by B
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[fleetKey{}] = &fleet{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":         withFleet(fleetCmd),
			"kingcuphook":   withFleet(commandLine),
			"attempt":       withFleet(attemptCmd),
			"call":          withFleet(callCmd),
			"limited":       withFleet(limitedCmd),
			"stream":        withFleet(streamCmd),
			"rest":          withFleet(restCmd),
			"redeem":        withFleet(redeemCmd),
			"store":         withFleet(storeCmd),
			"restart":       withFleet(restartCmd),
			"shutdown":      withFleet(shutdownCmd),
			"stopped":       withFleet(stoppedCmd),
			"crash":         withFleet(crashCmd),
			"crashes":       withFleet(crashesCmd),
			"runs":          withFleet(runsCmd),
			"serving":       withFleet(servingCmd),
			"keys":          withFleet(keysCmd),
			"forget":        withFleet(forgetCmd),
			"load":          withFleet(loadCmd),
			"leave":         withFleet(leaveCmd),
			"settle":        withFleet(settleCmd),
			"until-leaving": withFleet(untilLeavingCmd),
			"count":         withFleet(countCmd),
			"calls":         withFleet(callsCmd),
			"idle":          withFleet(idleCmd),
			"replace":       withFleet(replaceCmd),
		},
	})
}

// TestNoScriptEndsEarly keeps the built-in commands out of the scripts that end
// one as passed.
func TestNoScriptEndsEarly(t *testing.T) {
	scripts, err := filepath.Glob("testdata/script/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	early := regexp.MustCompile(`(?m)^(stop|skip)\b`)
	for _, file := range scripts {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if early.Match(text) {
			t.Errorf("%s ends early", file)
		}
	}
}

func withFleet(f func(*testscript.TestScript, bool, []string, *fleet)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		fl, ok := ts.Value(fleetKey{}).(*fleet)
		if !ok {
			ts.Fatalf("the script has no fleet")
		}
		f(ts, neg, args, fl)
	}
}

func index(ts *testscript.TestScript, text string) int {
	var n int
	if _, err := fmt.Sscan(text, &n); err != nil {
		ts.Fatalf("%q is not a number", text)
	}
	return n
}

func fleetCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	ctx, cancel := context.WithCancel(context.Background())
	ts.Defer(cancel)
	f.store = &storer.Store{WatchWait: time.Second, Hook: func(op, _ string) storer.Fault {
		return storer.Fault{LoseReply: op == storer.OpPut && f.losesReplies.Load()}
	}}
	f.http = http.DefaultClient
	if len(args) > 1 {
		f.secure(ts)
	}
	platform, err := servePlatform(ctx, anyPort, f.store, f.serverOptions(ts)...)
	ts.Check(err)
	f.platform = platform
	f.pools = examplePools
	for _, name := range []string{"ENGINE-1", "ENGINE-2", "ENGINE-3", "SERVICE-1"} {
		u := &responder.Upstream{StepTime: 5 * time.Millisecond}
		address, err := serveUpstream(ctx, anyPort, u)
		ts.Check(err)
		f.upstreams = append(f.upstreams, u)
		f.addresses = append(f.addresses, address)
		f.pools = strings.ReplaceAll(f.pools, name, address)
	}
	ts.Check(applyExample(ctx, f.store, f.pools))
	f.routers = make([]*member, index(ts, args[0]))
	for i := range f.routers {
		f.listen(ts, i)
	}
	f.listVMs()
	for i := range f.routers {
		f.run(i)
	}
	for i := range f.routers {
		f.waitReady(ts, i)
	}
	ts.Setenv("KINGCUPHOOK_API", f.routers[0].router.OperatorsAddress())
}

// secure gives the fleet certificates of one authority.
func (f *fleet) secure(ts *testscript.TestScript) {
	s, err := signer.New()
	ts.Check(err)
	f.files, err = s.Issue(ts.MkAbs("."), 2)
	ts.Check(err)
	cfg, err := clientTLS(f.files.Authority)
	ts.Check(err)
	f.http = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
}

// serverOptions returns those of the stand-in of the platform.
func (f *fleet) serverOptions(ts *testscript.TestScript) []grpc.ServerOption {
	if f.files.Certificate == "" {
		return nil
	}
	creds, err := credentials.NewServerTLSFromFile(f.files.Certificate, f.files.Key)
	ts.Check(err)
	return []grpc.ServerOption{grpc.Creds(creds)}
}

// tlsSettings returns the TLS settings of a router.
func (f *fleet) tlsSettings() configurer.TLS {
	if f.files.Certificate == "" {
		return configurer.TLS{PlainText: true}
	}
	return configurer.TLS{
		CallersCertificate: f.files.Certificate, CallersKey: f.files.Key,
		PeersCertificate: f.files.Certificate, PeersKey: f.files.Key, PeersAuthority: f.files.Authority,
		PlatformAuthority: f.files.Authority,
	}
}

// url returns the URL of the callers' API of router n.
func (f *fleet) url(n int) string {
	if f.files.Certificate != "" {
		return "https://" + f.routers[n].router.CallersAddress()
	}
	return "http://" + f.routers[n].router.CallersAddress()
}

// Ports that the system gives to no outgoing connection, so that a router that is
// started again finds its own free.
const (
	lastingPort  = 20_000
	lastingPorts = 12_000
	lastingTries = 20
)

// lastingAddress returns an address for the peer link of a router.
func lastingAddress() string {
	return fmt.Sprintf("127.0.0.1:%d", lastingPort+rand.IntN(lastingPorts))
}

// listen makes router i and opens its sockets.
func (f *fleet) listen(ts *testscript.TestScript, i int) {
	s := configurer.Default()
	region := regions[i%len(regions)]
	s.Node = configurer.Node{Region: region, DataCentre: region + "-1"}
	s.Listen = configurer.Listen{Callers: anyPort, Operators: anyPort, Admin: anyPort, Peers: lastingAddress()}
	if m := f.routers[i]; m != nil {
		s.Listen.Peers = m.router.PeersAddress()
	}
	s.Platform.Address = f.platform
	s.TLS = f.tlsSettings()
	s.Operators.Token = tryToken
	s.Stop.DrainDelay = configurer.Duration(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{router: &router.Router{Settings: &s}, ctx: ctx, stop: cancel, ended: make(chan error, 1)}
	err := m.router.Listen()
	for n := 0; errors.Is(err, syscall.EADDRINUSE) && f.routers[i] == nil && n < lastingTries; n++ {
		s.Listen.Peers = lastingAddress()
		err = m.router.Listen()
	}
	ts.Check(err)
	f.mu.Lock()
	f.routers[i] = m
	f.mu.Unlock()
	ts.Defer(cancel)
}

// listVMs puts the routers into the platform's list of VMs.
func (f *fleet) listVMs() {
	vms := make([]kingcuphook.VM, 0, len(f.routers))
	for i, m := range f.routers {
		region := regions[i%len(regions)]
		vms = append(vms, kingcuphook.NewVM(m.router.PeersAddress(), region, region+"-1", kingcuphook.VMStateLive))
	}
	f.store.SetVMs(vms)
}

// run runs router i until it is stopped.
func (f *fleet) run(i int) {
	m := f.routers[i]
	go func() { m.ended <- m.router.Run(m.ctx) }()
}

func (f *fleet) waitReady(ts *testscript.TestScript, i int) {
	m := f.routers[i]
	if err := waitReady(m.ctx, m.router, m.ended); err != nil {
		ts.Fatalf("router %d: %v", i, err)
	}
}

// commandLine runs the command line in this process and checks its exit code.
func commandLine(ts *testscript.TestScript, neg bool, args []string, f *fleet) {
	code := attemptLine(ts, args, f)
	if neg == (code == exitOK) {
		ts.Fatalf("exit code %d", code)
	}
}

// attemptCmd runs the command line whatever its exit code.
func attemptCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	attemptLine(ts, args, f)
}

// commandMu guards the streams of the command line: scripts run in parallel.
var commandMu sync.Mutex

func attemptLine(ts *testscript.TestScript, args []string, f *fleet) int {
	var out, errOut bytes.Buffer
	commandMu.Lock()
	defer commandMu.Unlock()
	stdin, stdout, stderr = strings.NewReader(""), &out, &errOut
	for i, a := range args {
		if strings.HasSuffix(a, ".toml") {
			args[i] = ts.MkAbs(a)
		}
	}
	prefix := []string{"--token", tryToken, "--author", "operator"}
	if len(f.routers) > 0 {
		prefix = append(prefix, "--api", f.routers[0].router.OperatorsAddress())
	}
	if f.files.Certificate != "" {
		prefix = append(prefix, "--tls", "--authority", f.files.Authority)
	}
	code := run(append(prefix, args...))
	fmt.Fprintf(&errOut, "exit code %d\n", code)
	fmt.Fprint(ts.Stdout(), out.String())
	fmt.Fprint(ts.Stderr(), errOut.String())
	return code
}

func (f *fleet) post(n int, path, body string, headers ...string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url(n)+path, strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.http.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return resp, nil
}

func printAnswer(ts *testscript.TestScript, resp *http.Response, err error) {
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "%d %s\n%s", resp.StatusCode, resp.Header.Get("X-Request-Id"), body)
	ts.Setenv("REQUEST", resp.Header.Get("X-Request-Id"))
}

func chatBody(text string, stream bool) string {
	return fmt.Sprintf(`{"model":"small","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, text)
}

func callCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	resp, err := f.post(index(ts, args[0]), responder.PathChat, chatBody(args[2], false), "X-Class", args[1], "X-Organisation", "cafe-1") //nolint:bodyclose // printAnswer closes it
	printAnswer(ts, resp, err)
}

func limitedCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	calls, passed := index(ts, args[0]), 0
	var last []byte
	for range calls {
		resp, err := f.post(0, responder.PathChat, chatBody("hello", false), "X-Class", "till", "X-Organisation", "cafe-1")
		ts.Check(err)
		body, err := io.ReadAll(resp.Body)
		ts.Check(err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			passed++
			continue
		}
		last = body
	}
	fmt.Fprintf(ts.Stdout(), "of %d calls %d passed\n%s", calls, passed, last)
}

// redeemCmd sends the redemption again while it is told that the outcome of
// another call with the key is not known yet, as callers do.
func redeemCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	for until := time.Now().Add(scriptTimeout); time.Now().Before(until); time.Sleep(claimedPause) {
		resp, err := f.post(index(ts, args[0]), "/redemptions", args[2], "Idempotency-Key", args[1], "X-Organisation", "cafe-1")
		ts.Check(err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		ts.Check(err)
		if !strings.Contains(string(body), "already-claimed") {
			fmt.Fprintf(ts.Stdout(), "%d %s\n%s", resp.StatusCode, resp.Header.Get("X-Request-Id"), body)
			return
		}
	}
	ts.Fatalf("the outcome stays unknown")
}

func streamCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	resp, err := f.post(index(ts, args[0]), responder.PathChat, chatBody(args[1], true), "X-Class", "till") //nolint:bodyclose // closed when read
	ts.Check(err)
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	ts.Check(err)
	f.stream = make(chan string, 1)
	go func() {
		rest, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			rest = append(rest, err.Error()...)
		}
		f.stream <- string(first) + string(rest)
	}()
}

func restCmd(ts *testscript.TestScript, _ bool, _ []string, f *fleet) {
	fmt.Fprint(ts.Stdout(), <-f.stream)
}

func storeCmd(_ *testscript.TestScript, _ bool, args []string, f *fleet) {
	fault := storer.Fault{Down: args[0] == "down"}
	if args[0] == "slow" {
		fault.Delay = slowStore
	}
	f.store.SetFault(fault)
	f.losesReplies.Store(args[0] == "lose-reply")
}

func shutdownCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	f.routers[index(ts, args[0])].stop()
}

func stoppedCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	select {
	case err := <-f.routers[index(ts, args[0])].ended:
		ts.Check(err)
	case <-time.After(scriptTimeout):
		ts.Fatalf("the router did not stop")
	}
}

func restartCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	i := index(ts, args[0])
	f.listen(ts, i)
	f.run(i)
	f.waitReady(ts, i)
}

func crashCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	f.upstreams[index(ts, args[0])].Crash()
}

func crashesCmd(ts *testscript.TestScript, _ bool, _ []string, f *fleet) {
	crashes := 0
	for _, u := range f.upstreams {
		crashes += u.Record().Crashes
	}
	fmt.Fprintf(ts.Stdout(), "%d crashes\n", crashes)
}

func runsCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	runs := 0
	for _, u := range f.upstreams {
		runs += u.Record().Keys[args[0]]
	}
	fmt.Fprintf(ts.Stdout(), "%d runs\n", runs)
}

func servingCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	want, serving := index(ts, args[1]), 0
	for until := time.Now().Add(2 * scriptTimeout); time.Now().Before(until); time.Sleep(pollPause) {
		serving = 0
		for _, u := range f.upstreams {
			if u.Model() == args[0] {
				serving++
			}
		}
		if serving == want {
			return
		}
	}
	ts.Fatalf("%d engines serve %s", serving, args[0])
}

func keysCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	entries, err := f.store.List(context.Background(), args[0])
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "%d keys\n", len(entries))
}

func forgetCmd(_ *testscript.TestScript, _ bool, _ []string, f *fleet) {
	for _, u := range f.upstreams {
		u.ClearOrder()
	}
}

func leaveCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	n := index(ts, args[0])
	if args[1] == "itself" {
		f.upstreams[n].SetLeaving(true)
		return
	}
	vms, err := f.store.VMs(context.Background())
	ts.Check(err)
	f.store.SetVMs(append(vms, kingcuphook.NewVM(f.addresses[n], "cairo", "cairo-1", kingcuphook.VMStateLeaving)))
}

func settleCmd(ts *testscript.TestScript, _ bool, args []string, _ *fleet) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

func untilLeavingCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	address := f.addresses[index(ts, args[0])]
	for until := time.Now().Add(scriptTimeout); time.Now().Before(until); time.Sleep(pollPause) {
		for _, u := range f.routers[0].router.Status().Upstreams {
			if u.Address == address && u.Leaving != nil && *u.Leaving {
				return
			}
		}
	}
	ts.Fatalf("the router does not know that %s leaves", address)
}

// runs returns how many runs upstream n has begun.
func (f *fleet) runs(n int) int {
	total := 0
	for _, count := range f.upstreams[n].Record().Started {
		total += count
	}
	return total
}

func countCmd(_ *testscript.TestScript, _ bool, _ []string, f *fleet) {
	f.begun = nil
	for n := range f.upstreams {
		f.begun = append(f.begun, f.runs(n))
	}
}

func callsCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	for range index(ts, args[1]) {
		resp, err := f.post(index(ts, args[0]), responder.PathChat, chatBody("hello", false), "X-Class", "till")
		ts.Check(err)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			ts.Fatalf("status %d", resp.StatusCode)
		}
	}
}

func idleCmd(ts *testscript.TestScript, _ bool, args []string, f *fleet) {
	n := index(ts, args[0])
	if now := f.runs(n); now != f.begun[n] {
		ts.Fatalf("upstream %d began %d runs", n, now-f.begun[n])
	}
}

func replaceCmd(ts *testscript.TestScript, _ bool, args []string, _ *fleet) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s has no %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], strings.ReplaceAll(args[2], `\n`, "\n"), 1)), filePermissions))
}

// TestExampleTablesAreValid checks the embedded example against the parser.
func TestExampleTablesAreValid(t *testing.T) {
	routes, err := parser.ParseRoutes("routes", []byte(exampleRoutes))
	if err != nil {
		t.Fatal(err)
	}
	pools := strings.NewReplacer("ENGINE-1", "127.0.0.1:1", "ENGINE-2", "127.0.0.1:2", "ENGINE-3", "127.0.0.1:3", "SERVICE-1", "127.0.0.1:4")
	table, err := parser.ParsePools("pools", []byte(pools.Replace(examplePools)))
	if err != nil {
		t.Fatal(err)
	}
	if err := parser.Validate(routes, table); err != nil {
		t.Fatal(err)
	}
}
