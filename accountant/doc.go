// Package accountant counts the requests of each organisation by window of time, sums the counts of
// all routers, and decides when a window is fixed, written to the store and reported. A window is
// written before its first report, and its counts never change afterwards.
package accountant

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxWindows bounds the windows that are kept until they are fixed.
const MaxWindows = 8

// maxRuns bounds the runs of routers whose counts are kept.
const maxRuns = 4096

// Errors of invalid messages.
var (
	ErrUnknownOrganisation = errors.New("accountant: organisation is not declared")
	ErrFutureWindow        = errors.New("accountant: window is in the future")
	ErrFallingCount        = errors.New("accountant: count of a window falls")
)

// WindowAt returns the window of the given length that a time is in.
func WindowAt(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// EndOf returns the end of a window.
func EndOf(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// hashBytes is the length of the hash of an organisation in messages. With 2,300 organisations, the
// probability that two have the same one is about 1e-8.
const hashBytes = 6

// Hash returns the hash of an organisation's name in messages.
func Hash(name string) uint64 { return xxhash.Sum64String(name) >> (64 - 8*hashBytes) }
