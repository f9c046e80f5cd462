// Command cases2 runs the scripts of the second review: routers as processes of their own, beside
// stand-ins of the store, the runners and the clients.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/emulator/storer"
	"github.com/kingcuphook/kingcuphook/platform/standin"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// organisation holds the key.
	organisation = "hule930"
	// ledgerService and poolService are the two services.
	ledgerService, poolService = "huvo11a", "wuno96b"
	// seeds is the number of routers that the settings name as seeds.
	seeds = 3
	// storeHost and runnerHost are the last numbers of the addresses of the store and of the first runner;
	// those of routers begin with 1.
	storeHost, runnerHost = 250, 100
	readyTimeout          = 15 * time.Second
)

var errNotReady = errors.New("not ready in time")

// world is a small deployment on loopback addresses.
type world struct {
	// dir is a temporary folder for settings and logs.
	dir string
	// network has the first three numbers of all addresses; port is the first port of the routers.
	network string
	port    int
	record  *recorder
	kv      *storer.Store
	store   string

	mu      sync.Mutex
	seq     int64
	routers []*router
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts the store of a deployment that is recorded in a file.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250)), port: 20000 + rand.IntN(10000),
		record: &recorder{file: file, begun: time.Now()}, kv: &storer.Store{},
	}
	l, err := net.Listen("tcp", w.address(storeHost, 0))
	if err != nil {
		return nil, err
	}
	w.store = l.Addr().String()
	server := &http.Server{Handler: &standin.Store{Store: w.kv}, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return w, nil
}

func (w *world) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", w.network, last, port) }

// end ends all processes that were started.
func (w *world) end() {
	for _, r := range w.routers {
		r.kill()
	}
	_ = w.record.file.Close()
	_ = os.RemoveAll(w.dir)
}

// put writes a key, as the operator and the runners do.
func (w *world) put(name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = w.kv.Put(context.Background(), name, text, kingcuphook.RevisionAny, 0)
	return err
}

// router is a process of the project.
type router struct {
	name, front, ready, settings, log string
	command                           *exec.Cmd
	ended                             chan struct{}
}

// settingsOf returns the settings of router i, those of a machine of nilecup-hq.
func (w *world) settingsOf(i int) map[string]any {
	ip := fmt.Sprintf("%s.%d", w.network, i)
	list := make([]string, 0, seeds)
	for k := 1; k <= seeds; k++ {
		list = append(list, w.address(k, w.port+2))
	}
	return map[string]any{
		"nodeName": "front-cairo-a-" + strconv.Itoa(i), "role": "router", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": ip, "zone": "cairo-a", "region": "cairo",
		"zones": map[string]string{"cairo-a": "cairo", "alex-a": "alex", "upper-a": "upper"},
		"listen": map[string]string{
			"front": w.address(i, w.port), "ready": w.address(i, w.port+1), "control": w.address(i, w.port+2),
		},
		"internalPorts": []int{w.port + 10, w.port + 25}, "seeds": list, "bootstrap": true, "inLossBudget": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250, "maxStretchMs": 6000, "strictRevoke": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "recoveryS": 12, "passMs": 400, "againS": 10,
		},
		"provider": map[string]any{
			"address": w.store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
}

// start starts router i with the command of the deploy file and waits until it is ready.
func (w *world) start(i int) (*router, error) {
	text, err := json.MarshalIndent(w.settingsOf(i), "", "  ")
	if err != nil {
		return nil, err
	}
	r := &router{
		name: "front-cairo-a-" + strconv.Itoa(i), front: w.address(i, w.port), ready: w.address(i, w.port+1),
		settings: filepath.Join(w.dir, fmt.Sprintf("settings-%d.json", i)), log: filepath.Join(w.dir, fmt.Sprintf("router-%d.log", i)),
	}
	if err := os.WriteFile(r.settings, text, 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(r.log)
	if err != nil {
		return nil, err
	}
	r.command = exec.Command("target/kingcuphook", "attach")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPHOOK_SETTINGS=" + r.settings}
	r.command.Stdout, r.command.Stderr = out, out
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	r.ended = make(chan struct{})
	go func() {
		_ = r.command.Wait()
		_ = out.Close()
		close(r.ended)
	}()
	w.routers = append(w.routers, r)
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if r.isReady(http.DefaultClient) {
			w.record.note("%s is ready", r.name)
			return r, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", r.name, errNotReady)
}

// isReady asks the router whether it is ready.
func (r *router) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + r.ready + "/kingcuphook/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *router) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *router) kill() {
	if !r.hasEnded() {
		_ = r.command.Process.Kill()
		<-r.ended
	}
}

// configuration returns a configuration with the routes of nilecup-hq that the cases use.
func configuration(version int) map[string]any {
	route := func(name, kind, service string, resumable bool, attempts, timeout, aim int) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": timeout, "sloMs": aim,
			"gapAimMs": 400, "maxAttempts": attempts, "resumable": resumable, "priority": 1, "public": false, "affinity": service == poolService,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("redeem", "unsafe", ledgerService, false, 1, 3000, 300),
			route("lookup", "safe", ledgerService, false, 2, 3000, 300),
			route("query", "streaming", poolService, true, 2, 15000, 500),
		},
		"services": []any{
			map[string]any{"name": ledgerService, "healthCheck": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
			map[string]any{
				"name": poolService, "healthCheck": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"batchSlots": 64, "kvCapacity": 594509, "tokenKvBytes": 18432, "stride": 5},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": organisation, "apiKeys": []string{key}, "priority": 1}},
	}
}
