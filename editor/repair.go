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
	// repairAuthor is the author of the edits that repair an outdated store.
	repairAuthor = "kingcuphook"
	// repairPrefix is the prefix of the ids of those edits.
	repairPrefix = "repair-"
)

// errRepaired reports that the store was repaired and that the edit must be
// attempted again.
var errRepaired = fmt.Errorf("the store was brought up to the revision in force: %w", kingcuphook.ErrConflict)

// repair writes the state in force, as a new revision, to a store that holds an
// older revision or damaged tables. It must only be called if every region was
// queried for its revision: otherwise it could overwrite a newer one that is in
// force elsewhere.
func (e *Editor) repair(ctx context.Context, s *loader.State, inForce *differ.Snapshot) error {
	revision := inForce.Revision() + 1
	id := fmt.Sprintf("%s%016x", repairPrefix, inForce.Lineage())
	next, err := differ.Advance(inForce, differ.NewChange(differ.ChangeFields{
		Revision: revision, EditID: id, Author: repairAuthor, Time: time.Now(),
		Reason: fmt.Sprintf("the store held revision %d", s.Snapshot.Revision()),
		Parent: inForce.Lineage(), Lineage: differ.NextLineage(inForce.Lineage(), revision, id),
	}), loader.DefaultKeep)
	if err != nil {
		return err
	}
	w := writer{store: e.Store}
	h, err := w.prepare(ctx, s, next)
	if err != nil {
		return err
	}
	if err := w.putHead(ctx, h, s.StoreRevision); err != nil {
		return err
	}
	e.last = next
	return errRepaired
}
