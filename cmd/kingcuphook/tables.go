package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/commands"
	"github.com/kingcuphook/kingcuphook/gen/queries"
	"github.com/kingcuphook/kingcuphook/historian"
)

const (
	// waitInterval is the time between two checks of a condition that a command
	// waits for, such as the revision with --wait.
	waitInterval = 200 * time.Millisecond
	// filePermissions are the permissions of the file that get --output writes.
	filePermissions = 0o600
)

// tableCommand holds the subcommands for one table.
type tableCommand struct {
	Get      getCommand      `command:"get" description:"Print the table as it is in force"`
	Edit     editCommand     `command:"edit" description:"Edit the table: get writes FILE, change it, apply sends it; without FILE the text is read from standard input"`
	Apply    applyCommand    `command:"apply" description:"Apply a file as the whole table"`
	History  historyCommand  `command:"history" description:"Show who changed what, newest first"`
	Diff     diffCommand     `command:"diff" description:"Show the rows that differ between two revisions"`
	Rollback rollbackCommand `command:"rollback" description:"Restore both tables of an older revision by a new edit"`
}

func newTableCommand(table string) *tableCommand {
	c := &tableCommand{}
	c.Get.table = table
	c.Edit.table = table
	c.Apply.table = table
	c.History.table = table
	c.Diff.table = table
	return c
}

// revisionPrefix starts the comment that records which revision the text of a table
// is based on.
const revisionPrefix = "# revision "

var revisionPattern = regexp.MustCompile(`(?m)^` + revisionPrefix + `(\d+)\s*$`)

// parseBaseRevision returns the revision that a text is based on, or 0 if it
// records none.
func parseBaseRevision(text string) int64 {
	m := revisionPattern.FindStringSubmatch(text)
	if m == nil {
		return 0
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

type getCommand struct {
	Output string `short:"o" long:"output" description:"Write to this file instead of standard output"`

	table string
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	text, err := fetchTable(c.table)
	if err != nil {
		return err
	}
	if c.Output == "" {
		fmt.Fprint(stdout, text)
		return nil
	}
	return os.WriteFile(c.Output, []byte(text), filePermissions)
}

// fetchTable returns the text of a table, preceded by a line with its revision.
func fetchTable(table string) (string, error) {
	c, err := newClient()
	if err != nil {
		return "", err
	}
	ctx, cancel := callContext()
	defer cancel()
	t, err := c.queries.Table(ctx, &queries.TablePayload{Token: &c.token, Table: queries.TableName(table)})
	if err != nil {
		return "", convertError(err, false)
	}
	return fmt.Sprintf("%s%d\n%s", revisionPrefix, t.Revision, t.Text), nil
}

// applyOptions holds the options of the commands that submit an edit.
type applyOptions struct {
	Wait    bool          `long:"wait" description:"Return when every region reports the revision"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"Longest time to wait"`
	EditID  string        `long:"edit-id" description:"Identifier of the edit; sent again with the same one, an edit takes effect once"`
}

type applyCommand struct {
	applyOptions

	Args struct {
		File string `positional-arg-name:"FILE" description:"Text of the table; - for standard input"`
	} `positional-args:"yes" required:"yes"`

	table string
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	return applyFile(c.table, c.Args.File, c.applyOptions)
}

type editCommand struct {
	applyOptions

	Args struct {
		File string `positional-arg-name:"FILE" description:"Edited text of the table"`
	} `positional-args:"yes"`

	table string
}

// Execute implements flags.Commander. The program starts no other process such as
// an editor, so the edited text comes from a file or standard input.
func (c *editCommand) Execute([]string) error {
	file := c.Args.File
	if file == "" {
		file = "-"
	}
	return applyFile(c.table, file, c.applyOptions)
}

func applyFile(table, file string, opts applyOptions) error {
	text, err := readInput(file)
	if err != nil {
		return err
	}
	c, err := newClient()
	if err != nil {
		return err
	}
	if globalOptions.Author == "" {
		return fmt.Errorf("no author: set --author: %w", kingcuphook.ErrInvalid)
	}
	if opts.EditID == "" {
		opts.EditID = uuid.NewString()
	}
	base := parseBaseRevision(text)
	ctx, cancel := callContext()
	defer cancel()
	applied, err := c.commands.Apply(ctx, &commands.ApplyPayload{
		Token:        &c.token,
		Table:        commands.TableName(table),
		Text:         text,
		BaseRevision: &base,
		EditID:       &opts.EditID,
		Author:       globalOptions.Author,
	})
	return c.reportEdit(applied, err, opts)
}

func readInput(file string) (string, error) {
	if file == "-" {
		text, err := io.ReadAll(stdin)
		return string(text), err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &kingcuphook.InputError{File: file, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
	}
	return string(text), nil
}

// waitInForce waits until every region in the router's status has the revision in
// force.
func (c *client) waitInForce(revision int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	for {
		s, err := c.queries.Status(ctx, &queries.StatusPayload{Token: &c.token})
		if err != nil {
			return convertError(err, false)
		}
		behind := regionsBehind(s, revision, time.Since(start))
		if len(behind) == 0 {
			fmt.Fprintf(stdout, "in force in every region after %s\n", time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return fmt.Errorf("accepted, but not yet reported by %s: %w", strings.Join(behind, ", "), kingcuphook.ErrUnavailable)
		}
	}
}

// regionsBehind returns the sorted regions in which the revision isn't applied
// yet: one of their routers has reported an older revision since the edit was
// accepted, or none has reported this one.
func regionsBehind(s *queries.StatusReport, revision int64, since time.Duration) []string {
	now := time.Now()
	routers := []historian.RouterStatus{{Address: s.Address, Region: s.Region, Revision: s.Revision, Seen: now}}
	for _, m := range s.Members {
		if m.State != "alive" && m.State != "unreachable" {
			continue
		}
		r := historian.RouterStatus{Address: m.Address, Region: m.Region, Revision: m.Revision}
		if m.HeardSeconds != nil {
			r.Seen = now.Add(-time.Duration(*m.HeardSeconds * float64(time.Second)))
		}
		routers = append(routers, r)
	}
	var behind []string
	for _, c := range historian.Coverage(now, revision, routers, since) {
		if !c.Done() {
			behind = append(behind, c.Region)
		}
	}
	return behind
}

type historyCommand struct {
	Limit int `short:"n" long:"limit" default:"20" description:"Most entries to show"`

	table string
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	table := queries.TableName(c.table)
	changes, err := cl.queries.History(ctx, &queries.HistoryPayload{Token: &cl.token, Table: &table, Limit: c.Limit})
	if err != nil {
		return convertError(err, false)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tOUTCOME\tEDIT\tROWS")
	for _, ch := range changes {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", ch.Revision, ch.Time, ch.Author, outcomeText(ch), ch.EditID, rowNames(ch.Rows))
	}
	return w.Flush()
}

func outcomeText(ch *queries.Change) string {
	if ch.Reason == nil || *ch.Reason == "" {
		return ch.Outcome
	}
	return ch.Outcome + ": " + *ch.Reason
}

func rowNames(rows []*queries.Row) string {
	names := make([]string, 0, len(rows))
	for _, r := range rows {
		names = append(names, string(r.Table)+"/"+r.Name)
	}
	return strings.Join(names, " ")
}

type diffCommand struct {
	From int64 `long:"from" required:"yes" description:"Older revision"`
	To   int64 `long:"to" description:"Newer revision; the one in force if left out"`

	table string
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	rows, err := cl.queries.Diff(ctx, &queries.DiffPayload{Token: &cl.token, From: c.From, To: &c.To})
	if err != nil {
		return convertError(err, false)
	}
	for _, r := range rows {
		if string(r.Table) == c.table {
			printRow(r)
		}
	}
	return nil
}

func printRow(r *queries.Row) {
	fmt.Fprintf(stdout, "%s %s\n", r.Table, r.Name)
	printPrefixed("- ", r.Before)
	printPrefixed("+ ", r.After)
}

func printPrefixed(prefix string, text *string) {
	if text == nil {
		return
	}
	for line := range strings.Lines(strings.TrimSpace(*text)) {
		fmt.Fprint(stdout, prefix+line)
	}
	if *text != "" {
		fmt.Fprintln(stdout)
	}
}
