package editor

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/loader"
)

const (
	// repairAuthor is the author of the edits that bring a store up to date.
	repairAuthor = "kingcuphook"
	// repairPrefix starts the ids of such edits.
	repairPrefix = "repair-"
)

// errRepaired says that the store was brought up to date and the edit must
// start again.
var errRepaired = fmt.Errorf("the store was brought up to the revision in force: %w", kingcuphook.ErrConflict)

// repair brings a store that holds an older revision up to the state in force,
// as a new revision. It must only be called if every region was asked for a
// higher one.
func (e *Editor) repair(ctx context.Context, s *loader.State, high *differ.Snapshot) error {
	revision := high.Revision() + 1
	id := fmt.Sprintf("%s%016x", repairPrefix, high.Lineage())
	next, err := differ.Advance(high, differ.NewChange(differ.ChangeFields{
		Revision: revision, EditID: id, Author: repairAuthor, Time: time.Now(),
		Reason: fmt.Sprintf("the store held revision %d", s.Snapshot.Revision()),
		Parent: high.Lineage(), Lineage: differ.NextLineage(high.Lineage(), revision, id),
	}), loader.DefaultKeep)
	if err != nil {
		return err
	}
	w := writer{store: e.Store}
	h, err := w.prepare(ctx, s, next)
	if err != nil {
		return err
	}
	if err := w.swap(ctx, h, s.StoreRevision); err != nil {
		return err
	}
	e.last = next
	return errRepaired
}
