package main

import (
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/gen/commands"
	"github.com/kingcuphook/kingcuphook/gen/queries"
)

type patchCommand struct {
	applyOptions

	Args struct {
		File string `positional-arg-name:"FILE" description:"Rows to put and remove, in TOML; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *patchCommand) Execute([]string) error {
	text, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	cl, err := newClient()
	if err != nil {
		return err
	}
	if c.EditID == "" {
		c.EditID = uuid.NewString()
	}
	ctx, cancel := callContext()
	defer cancel()
	applied, err := cl.commands.Patch(ctx, &commands.PatchPayload{Token: &cl.token, Text: text, EditID: &c.EditID, Author: globalOptions.Author})
	return cl.reportEdit(applied, err, c.applyOptions)
}

// reportEdit prints the revision and identifier of an accepted edit and, with
// --wait, waits until it is applied in every region.
func (c *client) reportEdit(applied *commands.Applied, err error, opts applyOptions) error {
	if err != nil {
		return convertEditError(err, opts.EditID)
	}
	fmt.Fprintf(stdout, "revision %d, edit %s\n", applied.Revision, applied.EditID)
	if !opts.Wait {
		return nil
	}
	return c.waitInForce(applied.Revision, opts.Timeout)
}

// convertEditError converts an error of an edit. If the outcome is unknown, the
// text gives the commands that find out or repeat the edit safely.
func convertEditError(err error, editID string) error {
	var expect int64
	var p *commands.Problem
	if errors.As(err, &p) && p.Expect != nil {
		expect = *p.Expect
	}
	err = convertError(err, true)
	if !errors.Is(err, kingcuphook.ErrOutcomeUnknown) {
		return err
	}
	return fmt.Errorf("it is not known whether edit %s was accepted; ask with \"kingcuphook outcome %s --expect %d\", or repeat with --edit-id %s: %w",
		editID, editID, expect, editID, err)
}

type outcomeCommand struct {
	Expect int64 `long:"expect" description:"What the unknown outcome said to ask with"`
	Args   struct {
		EditID string `positional-arg-name:"EDIT-ID" description:"Identifier of the edit"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *outcomeCommand) Execute([]string) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	o, err := cl.queries.Outcome(ctx, &queries.OutcomePayload{Token: &cl.token, EditID: c.Args.EditID, Expect: &c.Expect})
	if err != nil {
		return convertError(err, false)
	}
	switch {
	case o.Revision != nil:
		fmt.Fprintf(stdout, "%s, revision %d\n", o.Fate, *o.Revision)
	case o.Reason != nil:
		fmt.Fprintf(stdout, "%s: %s\n", o.Fate, *o.Reason)
	default:
		fmt.Fprintln(stdout, o.Fate)
	}
	return nil
}

type rollbackCommand struct {
	Only bool `long:"only" description:"Take back only the edit that made the next revision, and keep later ones"`

	Args struct {
		Revision int64 `positional-arg-name:"REVISION" description:"Revision to restore"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	cl, err := newClient()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	applied, err := cl.commands.Rollback(ctx, &commands.RollbackPayload{Token: &cl.token, Revision: c.Args.Revision, Only: c.Only, Author: globalOptions.Author})
	if err != nil {
		return convertError(err, true)
	}
	fmt.Fprintf(stdout, "revision %d, edit %s\n", applied.Revision, applied.EditID)
	return nil
}
