// Package commander implements the commands of the operators' API: edits of the tables and
// the removal of quarantines.
package commander

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"

	"goa.design/goa/v3/security"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/editor"
	"github.com/kingcuphook/kingcuphook/gen/commands"
	"github.com/kingcuphook/kingcuphook/hasher"
	"github.com/kingcuphook/kingcuphook/logger"
	"github.com/kingcuphook/kingcuphook/parser"
)

// Error names of the operators' API.
const (
	nameInvalid      = "invalid"
	nameConflict     = "conflict"
	nameUnavailable  = "unavailable"
	nameUnknown      = "unknown"
	nameUnauthorized = "unauthorized"
	nameNotFound     = "not-found"
)

// Lifter removes the quarantine of a request body.
type Lifter interface {
	// Lift removes the quarantine of a fingerprint and reports whether there was one.
	Lift(fingerprint uint64) bool
}

// Commander implements the commands of the operators' API. Its fields are set
// before use.
type Commander struct {
	// Editor applies edits; never nil.
	Editor *editor.Editor
	// Lifter removes quarantines; nil means that there are none.
	Lifter Lifter
	// Token is the token that operators must present; never empty.
	Token string
	// Log receives events; nil means none are logged.
	Log *logger.Logger
}

var _ commands.Service = (*Commander)(nil)

// APIKeyAuth verifies the operator token of a command.
func (c *Commander) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	if !SameToken(key, c.Token) {
		return ctx, &commands.Problem{Name: nameUnauthorized, Message: "the token is missing or wrong"}
	}
	return ctx, nil
}

// SameToken compares tokens in constant time.
func SameToken(given, want string) bool {
	return subtle.ConstantTimeCompare([]byte(given), []byte(want)) == 1
}

// Apply implements commands.Service.
func (c *Commander) Apply(ctx context.Context, p *commands.ApplyPayload) (*commands.Applied, error) {
	edit := editor.Edit{Author: p.Author, Base: editor.BaseNewest}
	if p.EditID != nil {
		edit.ID = *p.EditID
	}
	if p.BaseRevision != nil && *p.BaseRevision > 0 {
		edit.Base = *p.BaseRevision
	}
	err := parse(&edit, string(p.Table), p.Text)
	return c.apply(ctx, edit, err)
}

// apply applies an edit, or rejects it if err, the error of parsing its text, is not nil.
func (c *Commander) apply(ctx context.Context, edit editor.Edit, err error) (*commands.Applied, error) {
	if err != nil {
		c.Editor.AuditRejection(ctx, edit, err)
		return nil, c.rejected(err, edit)
	}
	result, err := c.Editor.Apply(ctx, edit)
	if err != nil {
		return nil, c.rejected(err, edit)
	}
	return c.accepted(edit, result), nil
}

func parse(edit *editor.Edit, table, text string) error {
	var err error
	if table == "routes" {
		edit.Routes, err = parser.ParseRoutes(table, []byte(text))
		return err
	}
	edit.Pools, err = parser.ParsePools(table, []byte(text))
	return err
}

// Patch implements commands.Service.
func (c *Commander) Patch(ctx context.Context, p *commands.PatchPayload) (*commands.Applied, error) {
	edit := editor.Edit{Author: p.Author, Base: editor.BaseNewest}
	if p.EditID != nil {
		edit.ID = *p.EditID
	}
	var err error
	edit.Patch, err = parser.ParsePatch("patch", []byte(p.Text))
	return c.apply(ctx, edit, err)
}

// Rollback implements commands.Service.
func (c *Commander) Rollback(ctx context.Context, p *commands.RollbackPayload) (*commands.Applied, error) {
	edit := editor.Edit{
		Author: p.Author,
		Base:   editor.BaseNewest,
		Reason: fmt.Sprintf("rollback to revision %d", p.Revision),
	}
	if p.Only {
		edit.Base = p.Revision + 1
		edit.Reason = fmt.Sprintf("takes back revision %d", edit.Base)
	}
	result, err := c.Editor.Rollback(ctx, edit, p.Revision)
	if err != nil {
		return nil, c.rejected(err, edit)
	}
	return c.accepted(edit, result), nil
}

// accepted logs an accepted edit and returns the reply of the API.
func (c *Commander) accepted(edit editor.Edit, result editor.Result) *commands.Applied {
	c.Log.Log(logger.EditAccepted, "edit", result.EditID, "author", edit.Author,
		"revision", result.Revision, "rows", result.Rows)
	return &commands.Applied{Revision: result.Revision, EditID: result.EditID}
}

// Lift implements commands.Service.
func (c *Commander) Lift(_ context.Context, p *commands.LiftPayload) error {
	fingerprint, err := hasher.Parse(p.Fingerprint)
	if err != nil {
		return &commands.Problem{Name: nameInvalid, Message: "the fingerprint is not a hexadecimal number"}
	}
	if c.Lifter == nil || !c.Lifter.Lift(fingerprint) {
		return &commands.Problem{Name: nameNotFound, Message: "this fingerprint is not in quarantine"}
	}
	c.Log.Log(logger.QuarantineLifted, "fingerprint", p.Fingerprint)
	return nil
}

// rejected logs a rejected edit and returns the error of the API.
func (c *Commander) rejected(err error, edit editor.Edit) error {
	p := problemOf(err)
	if p.EditID == nil && edit.ID != "" {
		p.EditID = &edit.ID
	}
	c.Log.Log(logger.EditRejected, "edit", edit.ID, "author", edit.Author, "problem", p.Name, "error", err)
	return p
}

func problemOf(err error) *commands.Problem {
	p := &commands.Problem{Name: nameUnavailable, Message: err.Error()}
	var input *kingcuphook.InputError
	var unknown *editor.UnknownError
	switch {
	case errors.As(err, &input):
		p.Name = nameInvalid
		p.File = &input.File
		p.Line = &input.Line
	case errors.As(err, &unknown):
		p.Name = nameUnknown
		p.EditID = &unknown.EditID
		p.Expect = &unknown.Expect
	case errors.Is(err, kingcuphook.ErrInvalid), errors.Is(err, kingcuphook.ErrTooLarge):
		p.Name = nameInvalid
	case errors.Is(err, kingcuphook.ErrConflict), errors.Is(err, kingcuphook.ErrCompacted):
		p.Name = nameConflict
	case errors.Is(err, kingcuphook.ErrOutcomeUnknown):
		p.Name = nameUnknown
	case errors.Is(err, kingcuphook.ErrNotFound):
		p.Name = nameNotFound
	}
	return p
}
