// Package assembler guards the answer to one request: it takes the frames of
// the running attempt in order and each once, and calls the answer whole only
// after its finish reason and end marker. It is a pure decision.
package assembler

import (
	"fmt"
	"strings"

	"github.com/kingcuphook/kingcuphook"
)

// Bounds of an Assembler whose fields are zero.
const (
	defaultMaxBytes   = 4 << 20
	defaultMaxRefused = 1000
)

// Counts are the frames that an Assembler refused, by reason.
type Counts struct {
	// Foreign belong to another attempt.
	Foreign int
	// Repeated have a position that was taken before.
	Repeated int
	// Ahead have a position past the expected one.
	Ahead int
	// Late came after the finish reason or the end marker.
	Late int
	// Malformed have an unknown kind, no finish reason or too much text.
	Malformed int
}

// Total returns the number of refused frames.
func (c Counts) Total() int {
	return c.Foreign + c.Repeated + c.Ahead + c.Late + c.Malformed
}

// Assembler builds one answer from the frames of one attempt after another. It
// is used by one goroutine.
type Assembler struct {
	// MaxBytes bounds the text of the answer; 0 means 4 MiB.
	MaxBytes int
	// MaxRefused bounds the frames refused in one attempt before it counts as
	// broken; 0 means 1,000.
	MaxRefused int

	attempt string
	// position is the number of data frames accepted, and the position expected
	// next.
	position int
	text     strings.Builder
	// finish is set by the finish frame of the running attempt.
	finish string
	// whole never becomes false again.
	whole  bool
	counts Counts
	// refused counts the running attempt only.
	refused int
}

// Begin expects the frames of a new attempt from the current position on.
func (a *Assembler) Begin(attempt string) {
	a.attempt = attempt
	a.finish = ""
	a.refused = 0
}

// Restart forgets the text, for an attempt that starts from position 0.
func (a *Assembler) Restart() {
	a.position = 0
	a.text.Reset()
}

// Accept takes a frame and reports whether it counts. A refused frame leaves
// the answer as it was. An error says that the attempt is broken and no further
// frame of it may be offered: it wraps ErrBrokenStream or ErrTooLarge.
func (a *Assembler) Accept(f kingcuphook.Frame) (bool, error) {
	switch {
	case f.Attempt() != a.attempt:
		return a.refuse(&a.counts.Foreign, kingcuphook.ErrForeignFrame)
	case a.whole:
		return a.refuse(&a.counts.Late, nil)
	case f.Position() < a.position:
		return a.refuse(&a.counts.Repeated, nil)
	case f.Position() > a.position:
		a.counts.Ahead++
		return false, fmt.Errorf("assembler: position %d in place of %d: %w", f.Position(), a.position, kingcuphook.ErrBrokenStream)
	}
	switch f.Kind() {
	case kingcuphook.FrameKindData:
		return a.data(f.Text())
	case kingcuphook.FrameKindFinish:
		return a.end(f.Text(), f.Text() != "" && a.finish == "", false)
	case kingcuphook.FrameKindEnd:
		return a.end(a.finish, a.finish != "", true)
	default:
		return a.malformed("unknown kind")
	}
}

func (a *Assembler) data(text string) (bool, error) {
	if a.finish != "" {
		return a.refuse(&a.counts.Late, nil)
	}
	if a.text.Len()+len(text) > a.maxBytes() {
		a.counts.Malformed++
		return false, fmt.Errorf("assembler: answer over %d bytes: %w", a.maxBytes(), kingcuphook.ErrTooLarge)
	}
	a.text.WriteString(text)
	a.position++
	return true, nil
}

func (a *Assembler) end(finish string, ok, whole bool) (bool, error) {
	if !ok && a.finish != "" {
		return a.refuse(&a.counts.Repeated, nil)
	}
	if !ok {
		return a.malformed("no finish reason")
	}
	a.finish = finish
	a.whole = whole
	return true, nil
}

func (a *Assembler) malformed(reason string) (bool, error) {
	a.counts.Malformed++
	return false, fmt.Errorf("assembler: %s: %w", reason, kingcuphook.ErrBrokenStream)
}

// refuse counts a frame that does no harm, until there are too many of them.
func (a *Assembler) refuse(count *int, err error) (bool, error) {
	*count++
	a.refused++
	if a.refused <= a.maxRefused() {
		return false, nil
	}
	if err == nil {
		err = kingcuphook.ErrBrokenStream
	}
	return false, fmt.Errorf("assembler: %d frames refused: %w: %w", a.refused, kingcuphook.ErrBrokenStream, err)
}

func (a *Assembler) maxBytes() int {
	if a.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return a.MaxBytes
}

func (a *Assembler) maxRefused() int {
	if a.MaxRefused == 0 {
		return defaultMaxRefused
	}
	return a.MaxRefused
}

// Position returns the position expected next.
func (a *Assembler) Position() int { return a.position }

// Text returns the text accepted so far.
func (a *Assembler) Text() string { return a.text.String() }

// Finish returns the finish reason; empty before it came.
func (a *Assembler) Finish() string { return a.finish }

// Whole reports whether the end marker came.
func (a *Assembler) Whole() bool { return a.whole }

// Counts returns the frames refused so far.
func (a *Assembler) Counts() Counts { return a.counts }
