package editor

import (
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// UnknownError reports that an edit may or may not have been accepted. It wraps
// ErrOutcomeUnknown.
type UnknownError struct {
	// EditID identifies the edit. Its outcome can be queried later, and it can be
	// sent again with the same id.
	EditID string
	// Expect is the store's revision of the head on which the write was
	// conditional: once the head has a higher one, the edit has either been
	// accepted or can't be any more.
	Expect int64
	// Err is the last error of the edit.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("editor: it is unknown whether edit %s was accepted; ask for it later by its id, or send it again with the same id: %v",
		e.EditID, e.Err)
}

// Unwrap returns ErrOutcomeUnknown and the cause.
func (e *UnknownError) Unwrap() []error { return []error{kingcuphook.ErrOutcomeUnknown, e.Err} }

// NotMadeError reports that an edit was not applied and that the tables are
// unchanged. The cause is an error of the store, too many concurrent edits or the
// end of the context. It wraps ErrUnavailable.
type NotMadeError struct {
	// EditID identifies the edit, which can be sent again.
	EditID string
	// Err is the last error of the edit.
	Err error
}

// Error implements error.
func (e *NotMadeError) Error() string {
	return fmt.Sprintf("editor: edit %s was not made and nothing was changed: %v", e.EditID, e.Err)
}

// Unwrap returns ErrUnavailable.
func (e *NotMadeError) Unwrap() error { return kingcuphook.ErrUnavailable }

// OlderStoreError reports that an edit was not applied because the store holds an
// older revision than some router has in force, and not every region could be
// queried for its revision, so the store can't be repaired. It wraps ErrUnavailable.
type OlderStoreError struct {
	// Store is the revision in the store, InForce the highest one known on a router.
	Store, InForce int64
}

// Error implements error.
func (e *OlderStoreError) Error() string {
	return fmt.Sprintf("editor: the store holds revision %d and revision %d is in force; not every region was asked for a higher one, so nothing was written",
		e.Store, e.InForce)
}

// Unwrap returns ErrUnavailable.
func (e *OlderStoreError) Unwrap() error { return kingcuphook.ErrUnavailable }
