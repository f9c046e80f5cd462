package editor

import (
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

// UnknownError says that an edit may or may not have been accepted. It wraps
// ErrOutcomeUnknown.
type UnknownError struct {
	// EditID identifies the edit: ask for it later, or send it again.
	EditID string
	// Expect is the store's revision of the head that the write expected: once
	// the head has a higher one, the edit is accepted or never will be.
	Expect int64
	// Err is why nothing more is known.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("editor: it is unknown whether edit %s was accepted; ask for it later by its id, or send it again with the same id: %v",
		e.EditID, e.Err)
}

// Unwrap returns ErrOutcomeUnknown and the cause.
func (e *UnknownError) Unwrap() []error { return []error{kingcuphook.ErrOutcomeUnknown, e.Err} }

// NotMadeError says that the store did not take an edit and that nothing was
// changed. It wraps ErrUnavailable.
type NotMadeError struct {
	// EditID identifies the edit: it can be sent again.
	EditID string
	// Err is what the store said last.
	Err error
}

// Error implements error.
func (e *NotMadeError) Error() string {
	return fmt.Sprintf("editor: edit %s was not made and nothing was changed: %v", e.EditID, e.Err)
}

// Unwrap returns ErrUnavailable.
func (e *NotMadeError) Unwrap() error { return kingcuphook.ErrUnavailable }

// OlderStoreError says that the store holds an older revision than a router has
// in force and that the edit was not made. It wraps ErrUnavailable.
type OlderStoreError struct {
	// Store and InForce are the two revisions.
	Store, InForce int64
}

// Error implements error.
func (e *OlderStoreError) Error() string {
	return fmt.Sprintf("editor: the store holds revision %d and revision %d is in force; not every region was asked for a higher one, so nothing was written",
		e.Store, e.InForce)
}

// Unwrap returns ErrUnavailable.
func (e *OlderStoreError) Unwrap() error { return kingcuphook.ErrUnavailable }
