// Command harness plays the cases of the review: it starts routers as the deploy file says, with
// stand-ins of the platform's store, runners and clients around them, brings about the disruption
// of a case and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
// With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to the functions that play them. Each reports whether the rule
// was broken.
var cases = map[string]func(ctx context.Context, w *world) (bool, error){
	"restarted-version":  playRestartedVersion,
	"silent-runner":      playSilentRunner,
	"unrecorded-streams": playUnrecorded,
	"busy-silence":       playBusySilence,
	"version-while-down": playVersionWhileDown,
	"large-bodies":       playLargeBodies,
	"crashing-body":      playCrashingBody,
	"crashing-part":      playCrashingPart,
	"changed-path":       playChangedPath,
}

// longest bounds a run.
const longest = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY RECORD-FILE")
		return exitNotRun
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, longest)
	defer stop()
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{record: r, dir: dir, repository: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", sentInTouch: make(map[string]bool)}
	defer w.close()
	r.add("case %s, disruption %v", os.Args[1], w.trouble)
	broken, err := cases[os.Args[1]](ctx, w)
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		w.keepLogs(filepath.Dir(os.Args[3]))
		return exitNotRun
	case broken:
		r.add("RESULT: the rule was broken")
		return exitBroken
	default:
		r.add("RESULT: the rule held")
		return exitHeld
	}
}

// record is what was sent, answered and run, in the order of time.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("harness: %w", err)
	}
	return &record{begun: time.Now(), file: f}, nil
}

// add adds a line, with the time since the begin.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
