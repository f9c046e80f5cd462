package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/previewer"
)

type whereCommand struct {
	Router       string        `long:"router" env:"KINGCUPHOOK_METRICS" required:"yes" description:"IP number and port of the router's metrics; of serve, its admin address"`
	Route        string        `long:"route" description:"Name of the route; in place of host and path"`
	Host         string        `long:"host" description:"Host of the request"`
	Path         string        `long:"path" description:"Path of the request"`
	Class        string        `long:"class" description:"Class of the request, by which serve matches routes"`
	Organisation string        `long:"organisation" description:"Name of the caller's organisation"`
	ID           string        `long:"id" description:"ID of the request, by which a route with several pools chooses"`
	Model        string        `long:"model" description:"Requested model"`
	PromptTokens int           `long:"prompt-tokens" description:"Tokens of the prompt"`
	MaxTokens    int           `long:"max-tokens" description:"Most tokens of the answer"`
	Prefix       string        `long:"prefix" description:"Shared parts of the prompt in order, as HASH:TOKENS,HASH:TOKENS"`
	Bytes        int           `long:"bytes" description:"Length of the body"`
	Deadline     time.Duration `long:"deadline" description:"How long the caller waits, such as 3s; the route's time if left out"`
	Body         string        `long:"body" description:"File with the body, for routers of serve, in place of the model and the lengths"`
	File         string        `long:"file" description:"File that describes the request in JSON, in place of the flags; - for standard input"`
	JSON         bool          `long:"json" description:"Print the answer as JSON"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	q, err := c.question()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	a, err := previewer.Ask(ctx, c.Router, q)
	if err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(stdout)
		e.SetIndent("", "  ")
		return e.Encode(a)
	}
	return printAnswer(stdout, a)
}

// question returns the question of the flags or of the file.
func (c *whereCommand) question() (*previewer.Question, error) {
	q := &previewer.Question{
		Route: c.Route, Host: c.Host, Path: c.Path, Class: c.Class, Organisation: c.Organisation, ID: c.ID, Model: c.Model,
		PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens, Bytes: c.Bytes, DeadlineMs: c.Deadline.Milliseconds(),
	}
	if c.File == "" {
		if c.Prefix != "" {
			q.Prefix = strings.Split(c.Prefix, ",")
		}
		if c.Body == "" {
			return q, nil
		}
		text, err := readBounded(c.Body)
		q.Body = string(text)
		return q, err
	}
	given := whereCommand{Router: c.Router, File: c.File, JSON: c.JSON}
	if *c != given {
		return nil, fmt.Errorf("--file can't be combined with flags that describe the request: %w", kingcuphook.ErrInvalid)
	}
	return readQuestion(c.File)
}

func readQuestion(file string) (*previewer.Question, error) {
	text, err := readBounded(file)
	if err != nil {
		return nil, err
	}
	q := &previewer.Question{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(q); err != nil {
		return nil, &kingcuphook.InputError{File: file, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
	}
	return q, nil
}

// readBounded reads a file, or standard input for -, that is no longer than a question.
func readBounded(file string) ([]byte, error) {
	in := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, &kingcuphook.InputError{File: file, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, previewer.MaxQuestionBytes+1))
	if err == nil && len(text) > previewer.MaxQuestionBytes {
		err = fmt.Errorf("longer than %d bytes", previewer.MaxQuestionBytes)
	}
	if err != nil {
		return nil, &kingcuphook.InputError{File: file, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
	}
	return text, nil
}

// printAnswer prints an answer for operators.
func printAnswer(out io.Writer, a *previewer.Answer) error {
	printVerdict(out, a)
	return printCandidates(out, a)
}

// printVerdict prints the request, its place in the queue and what becomes of it.
func printVerdict(out io.Writer, a *previewer.Answer) {
	kind := a.Kind
	if !a.Idempotent {
		kind += ", at most once"
	}
	fmt.Fprintf(out, "route %s (%s), pool %s, tier %d, target %.0fms, deadline %.0fms\n", a.Route, kind, a.Pool, a.Tier, a.TargetMs, a.DeadlineMs)
	fmt.Fprintf(out, "queue: %d queued here, of which %d of higher tiers and %d of this tier go before (%d of this route); %d queued at other routers; %.1f dispatched/s\n",
		a.Queue.Queued, a.Queue.HigherTiers, a.Queue.OwnTier, a.Queue.OwnRoute, a.Queue.Elsewhere, a.Queue.PerSecond)
	switch {
	case a.Refusal != nil:
		retry := ""
		if a.Refusal.RetryAfterMs > 0 {
			retry = fmt.Sprintf(", Retry-After %.3fs", a.Refusal.RetryAfterMs/1000)
		}
		fmt.Fprintf(out, "refused: %s%s (%s)\n", a.Refusal.Code, retry, a.Refusal.Reason)
	case a.Upstream != "" && isDrawn(a):
		fmt.Fprintf(out, "drawn among the upstreams, most often %s, first token predicted after %.0fms there, %d prompt tokens to prefill; waits with probability %s\n",
			a.Upstream, a.PredictedMs, a.UncachedTokens, formatShare(a.WaitProbability))
		fmt.Fprintf(out, "probabilities are estimated by %d draws\n", a.Draws)
	case isDrawn(a):
		fmt.Fprintf(out, "waits with probability %s, estimated by %d draws\n", formatShare(a.WaitProbability), a.Draws)
	case a.Upstream != "":
		fmt.Fprintf(out, "goes to %s, first token predicted after %.0fms, %d prompt tokens to prefill\n", a.Upstream, a.PredictedMs, a.UncachedTokens)
	default:
		fmt.Fprintln(out, "waits: no upstream takes it now")
	}
	if a.CopyFrom != "" {
		fmt.Fprintf(out, "copies the shared prefix from %s\n", a.CopyFrom)
	}
	if a.RateLimited != "" {
		fmt.Fprintf(out, "not to %s because of its rate limit\n", a.RateLimited)
	}
	fmt.Fprintf(out, "expected wait %s, refused after %.0fms; hedged after %s\n\n", formatMs(a.WaitMs), a.MaxWaitMs, formatMs(a.HedgeAfterMs))
}

// printCandidates prints the upstreams as a table, and the numbers of those that are left out or excluded.
func printCandidates(out io.Writer, a *previewer.Answer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "UPSTREAM\tPROBABILITY\tCOST\tFIRST TOKEN\tTRANSFER\tFAILURES\tLOAD\tRECOMPUTE\tINTERFERENCE\tTOKEN TARGET\tPREDICTED\tCACHED\tRUNNING\tFREE\tREPORT AGE\tEXCLUDED")
	for _, c := range a.Candidates {
		name, running := c.Upstream, fmt.Sprint(c.Running)
		if c.Chosen {
			name = "*" + name
		}
		if c.MaxRunning > 0 {
			running += fmt.Sprint("/", c.MaxRunning)
		}
		p := c.Parts
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0fms\t%d\t%s\t%d\t%s\t%s\n", name, formatShare(c.Probability), c.Cost,
			p.FirstToken, p.Transfer, p.Failures, p.Load, p.Recompute, p.Interference, p.TokenTarget, c.PredictedMs, c.CachedTokens, running, c.Free, formatMs(c.ReportAgeMs), c.Excluded)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if a.More > 0 {
		fmt.Fprintf(out, "and %d more\n", a.More)
	}
	for _, reason := range slices.Sorted(maps.Keys(a.Excluded)) {
		fmt.Fprintf(out, "excluded as %s: %d\n", reason, a.Excluded[reason])
	}
	return nil
}

// formatMs formats an optional time in milliseconds.
func formatMs(ms *float64) string {
	if ms == nil {
		return "-"
	}
	return fmt.Sprintf("%.0fms", *ms)
}

// formatShare formats an optional probability.
func formatShare(p *float64) string {
	if p == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100**p)
}

// isDrawn reports whether different draws have different results.
func isDrawn(a *previewer.Answer) bool {
	isOne := func(p *float64) bool { return p != nil && *p == 1 }
	return a.Draws > 0 && !isOne(a.WaitProbability) && !slices.ContainsFunc(a.Candidates, func(c previewer.Candidate) bool { return isOne(c.Probability) })
}
