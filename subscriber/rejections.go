package subscriber

import (
	"errors"
	"fmt"

	"github.com/kingcuphook/kingcuphook"
)

const (
	// maxRejections bounds the invalid entries that are remembered; others are ignored unreported.
	maxRejections = 1024
	// maxReported bounds the errors that one call returns in full.
	maxReported = 8
)

// rejections are the revisions of the entries that are invalid, by key.
type rejections map[string]int64

// has reports whether an entry was rejected before.
func (r rejections) has(e kingcuphook.Entry) bool {
	revision, ok := r[e.Key()]
	return ok && revision == e.Revision()
}

// add remembers an invalid entry, and returns err unless there are too many.
func (r *rejections) add(e kingcuphook.Entry, err error) error {
	if *r == nil {
		*r = make(rejections)
	}
	if _, known := (*r)[e.Key()]; !known && len(*r) >= maxRejections {
		return nil
	}
	(*r)[e.Key()] = e.Revision()
	return err
}

// joinErrors joins the first errors of a list and counts the others.
func joinErrors(errs []error) error {
	if n := len(errs) - maxReported; n > 0 {
		errs = append(errs[:maxReported:maxReported], fmt.Errorf("%d more entries: %w", n, kingcuphook.ErrInvalid))
	}
	return errors.Join(errs...)
}
