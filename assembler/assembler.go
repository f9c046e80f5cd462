// Package assembler builds the answer to one request from the frames of its
// attempts. It accepts each frame of the current attempt once and in order, and
// treats the answer as complete only after its finish reason and end marker. It
// does no I/O.
package assembler

import (
	"fmt"
	"strings"

	"github.com/kingcuphook/kingcuphook"
)

// Defaults for the limits of an Assembler.
const (
	defaultMaxBytes    = 4 << 20
	defaultMaxRejected = 1000
)

// Counts holds the number of frames that an Assembler rejected, by reason.
type Counts struct {
	// Foreign counts frames of another attempt.
	Foreign int
	// Repeated counts frames at a position that was already accepted, and second
	// finish frames.
	Repeated int
	// Ahead counts frames past the next expected position.
	Ahead int
	// Late counts frames of the current attempt: data frames after the finish reason,
	// and any frames after the end marker.
	Late int
	// Malformed counts frames of an unknown kind, finish and end frames without a
	// finish reason, and data frames that exceed MaxBytes.
	Malformed int
}

// Total returns the number of rejected frames.
func (c Counts) Total() int {
	return c.Foreign + c.Repeated + c.Ahead + c.Late + c.Malformed
}

// Assembler builds one answer from the frames of successive attempts. It is not
// safe for concurrent use.
type Assembler struct {
	// MaxBytes limits the text of the answer; 0 means 4 MiB.
	MaxBytes int
	// MaxRejected is the number of rejected frames that one attempt may have; one
	// more breaks it. 0 means 1,000.
	MaxRejected int
	// DropsText is set if the text is only passed on, so that Text stays empty.
	DropsText bool

	attempt string
	// position is the number of accepted data frames, which is also the next
	// expected position.
	position int
	text     strings.Builder
	// bytes is the length of the text, also of one that is not kept.
	bytes int
	// finish is the finish reason that the current attempt sent.
	finish string
	// complete is set by the end marker and never reset.
	complete bool
	counts   Counts
	// rejected is the number of rejected frames of the current attempt.
	rejected int
}

// Begin starts a new attempt, whose frames continue at the current position.
func (a *Assembler) Begin(attempt string) {
	a.attempt = attempt
	a.finish = ""
	a.rejected = 0
}

// Restart discards the text, for an attempt that starts at position 0.
func (a *Assembler) Restart() {
	a.position, a.bytes = 0, 0
	a.text.Reset()
}

// Accept adds a frame to the answer and reports whether it was accepted. A
// rejected frame leaves the answer unchanged. An error means that the attempt is
// broken and that no more of its frames may be passed; it wraps ErrBrokenStream or
// ErrTooLarge.
func (a *Assembler) Accept(f kingcuphook.Frame) (bool, error) {
	switch {
	case f.Attempt() != a.attempt:
		return a.reject(&a.counts.Foreign, kingcuphook.ErrForeignFrame)
	case a.complete:
		return a.reject(&a.counts.Late, nil)
	case f.Position() < a.position:
		return a.reject(&a.counts.Repeated, nil)
	case f.Position() > a.position:
		a.counts.Ahead++
		return false, fmt.Errorf("assembler: position %d in place of %d: %w", f.Position(), a.position, kingcuphook.ErrBrokenStream)
	}
	switch f.Kind() {
	case kingcuphook.FrameKindData:
		return a.acceptData(f.Text())
	case kingcuphook.FrameKindFinish:
		return a.acceptEnd(f.Text(), f.Text() != "" && a.finish == "", false)
	case kingcuphook.FrameKindEnd:
		return a.acceptEnd(a.finish, a.finish != "", true)
	default:
		return a.rejectMalformed("unknown kind")
	}
}

func (a *Assembler) acceptData(text string) (bool, error) {
	if a.finish != "" {
		return a.reject(&a.counts.Late, nil)
	}
	if a.bytes+len(text) > a.maxBytes() {
		a.counts.Malformed++
		return false, fmt.Errorf("assembler: answer over %d bytes: %w", a.maxBytes(), kingcuphook.ErrTooLarge)
	}
	a.bytes += len(text)
	if !a.DropsText {
		a.text.WriteString(text)
	}
	a.position++
	return true, nil
}

// acceptEnd accepts a finish or end frame if ok is set. A finish frame after the
// first one is rejected as repeated; any other invalid frame breaks the attempt.
func (a *Assembler) acceptEnd(finish string, ok, complete bool) (bool, error) {
	if !ok && a.finish != "" {
		return a.reject(&a.counts.Repeated, nil)
	}
	if !ok {
		return a.rejectMalformed("no finish reason")
	}
	a.finish = finish
	a.complete = complete
	return true, nil
}

func (a *Assembler) rejectMalformed(reason string) (bool, error) {
	a.counts.Malformed++
	return false, fmt.Errorf("assembler: %s: %w", reason, kingcuphook.ErrBrokenStream)
}

// reject counts a frame that can be ignored. It returns an error when the attempt
// has more than MaxRejected of them.
func (a *Assembler) reject(count *int, err error) (bool, error) {
	*count++
	a.rejected++
	if a.rejected <= a.maxRejected() {
		return false, nil
	}
	if err == nil {
		err = kingcuphook.ErrBrokenStream
	}
	return false, fmt.Errorf("assembler: %d frames refused: %w: %w", a.rejected, kingcuphook.ErrBrokenStream, err)
}

func (a *Assembler) maxBytes() int {
	if a.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return a.MaxBytes
}

func (a *Assembler) maxRejected() int {
	if a.MaxRejected == 0 {
		return defaultMaxRejected
	}
	return a.MaxRejected
}

// Position returns the next expected position.
func (a *Assembler) Position() int { return a.position }

// Text returns the accepted text, unless DropsText is set.
func (a *Assembler) Text() string { return a.text.String() }

// Finish returns the finish reason of the current attempt, or "" before it arrives.
func (a *Assembler) Finish() string { return a.finish }

// Complete reports whether the answer is complete: its end marker was accepted.
func (a *Assembler) Complete() bool { return a.complete }

// Counts returns the number of rejected frames over all attempts.
func (a *Assembler) Counts() Counts { return a.counts }
