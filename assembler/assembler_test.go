package assembler

import (
	"errors"
	"flag"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

// init fixes the seed, so that property tests give the same result on every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func dataFrame(attempt string, position int, text string) kingcuphook.Frame {
	return kingcuphook.NewFrame(attempt, position, kingcuphook.FrameKindData, text)
}

func endFrames(attempt string, position int) []kingcuphook.Frame {
	return []kingcuphook.Frame{
		kingcuphook.NewFrame(attempt, position, kingcuphook.FrameKindFinish, "stop"),
		kingcuphook.NewFrame(attempt, position, kingcuphook.FrameKindEnd, ""),
	}
}

// answerFrames returns the frames of an attempt that sends the text from a position
// on, one byte in each data frame.
func answerFrames(attempt, text string, from int) []kingcuphook.Frame {
	var frames []kingcuphook.Frame
	for i := from; i < len(text); i++ {
		frames = append(frames, dataFrame(attempt, i, text[i:i+1]))
	}
	return append(frames, endFrames(attempt, len(text))...)
}

// TestUnexpectedFramesAreIgnored interleaves an answer with foreign and repeated
// frames and sends late ones after its end. None of them may change the answer or
// break the attempt.
func TestUnexpectedFramesAreIgnored(t *testing.T) {
	is := is.New(t)
	var a Assembler
	a.Begin("a1")
	for _, f := range answerFrames("a1", "whole", 0) {
		for _, unexpected := range []kingcuphook.Frame{dataFrame("a0", a.Position(), "x"), dataFrame("a1", a.Position()-1, "x")} {
			ok, err := a.Accept(unexpected)
			is.True(!ok)
			is.NoErr(err)
		}
		ok, err := a.Accept(f)
		is.True(ok)
		is.NoErr(err)
	}
	is.True(a.Complete())
	is.Equal(a.Finish(), "stop")
	is.Equal(a.Text(), "whole")
	is.Equal(a.Counts(), Counts{Foreign: 7, Repeated: 7})
	for _, f := range append(endFrames("a1", 5), dataFrame("a1", 5, "x")) {
		ok, err := a.Accept(f)
		is.True(!ok)
		is.NoErr(err)
	}
	is.Equal(a.Counts().Late, 3)
	is.Equal(a.Text(), "whole")
}

// TestInvalidFramesBreakAttempt checks that an attempt whose frames can't form an
// answer ends with ErrBrokenStream and leaves the answer incomplete.
func TestInvalidFramesBreakAttempt(t *testing.T) {
	for name, frames := range map[string][]kingcuphook.Frame{
		"gap":                   {dataFrame("a1", 0, "w"), dataFrame("a1", 2, "o")},
		"end without finish":    {kingcuphook.NewFrame("a1", 0, kingcuphook.FrameKindEnd, "")},
		"finish without reason": {kingcuphook.NewFrame("a1", 0, kingcuphook.FrameKindFinish, "")},
		"finish ahead":          {dataFrame("a1", 0, "w"), endFrames("a1", 2)[0]},
		"unknown kind":          {kingcuphook.NewFrame("a1", 0, "what", "")},
		"too many foreign":      {dataFrame("a0", 0, ""), dataFrame("a0", 0, ""), dataFrame("a0", 0, "")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := Assembler{MaxRejected: 2}
			a.Begin("a1")
			var err error
			for _, f := range frames {
				is.NoErr(err)
				_, err = a.Accept(f)
			}
			is.True(errors.Is(err, kingcuphook.ErrBrokenStream))
			is.True(!a.Complete())
		})
	}
}

func TestAnswerOverMaxBytes(t *testing.T) {
	is := is.New(t)
	a := Assembler{MaxBytes: 3}
	a.Begin("a1")
	_, err := a.Accept(dataFrame("a1", 0, "abc"))
	is.NoErr(err)
	_, err = a.Accept(dataFrame("a1", 1, "d"))
	is.True(errors.Is(err, kingcuphook.ErrTooLarge))
	is.Equal(a.Text(), "abc")
}

// acceptRandomFrames passes frames of an attempt, mixed with out-of-order, foreign
// and premature end frames, until one breaks the attempt or up to 40 were passed.
func acceptRandomFrames(t *rapid.T, a *Assembler, frames []kingcuphook.Frame) {
	for range rapid.IntRange(0, 40).Draw(t, "frames") {
		f := frames[min(a.Position(), len(frames)-1)]
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			f = frames[rapid.IntRange(0, len(frames)-1).Draw(t, "any")]
		case 1:
			f = dataFrame("other", rapid.IntRange(0, 9).Draw(t, "position"), "x")
		case 2:
			f = frames[len(frames)-1]
		}
		if _, err := a.Accept(f); err != nil {
			return
		}
	}
}

// TestTextIsPrefixOfAnswer checks for random frames over several attempts that the
// accepted text is always a prefix of the expected answer, and equals it once the
// answer is complete.
func TestTextIsPrefixOfAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat("abcdefgh", 2)[:rapid.IntRange(0, 16).Draw(t, "length")]
		var a Assembler
		for i := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			id := string(rune('a' + i))
			if rapid.Bool().Draw(t, "restart") && !a.Complete() {
				a.Restart()
			}
			a.Begin(id)
			acceptRandomFrames(t, &a, answerFrames(id, text, 0))
			if !strings.HasPrefix(text, a.Text()) || a.Position() != len(a.Text()) {
				t.Fatalf("accepted text %q at position %d is not a prefix of the answer", a.Text(), a.Position())
			}
			if a.Complete() && a.Text() != text {
				t.Fatalf("answer %q is marked complete but differs from the expected one", a.Text())
			}
		}
	})
}

// FuzzAccept decodes every three bytes of the input as one frame. Rejected frames
// must not change the answer, and the limits must hold.
func FuzzAccept(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0, 0, 2, 1, 0, 2, 2})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 1, 0, 5, 0})
	kinds := []kingcuphook.FrameKind{kingcuphook.FrameKindData, kingcuphook.FrameKindFinish, kingcuphook.FrameKindEnd, "other"}
	f.Fuzz(func(t *testing.T, b []byte) {
		a := Assembler{MaxBytes: 8, MaxRejected: 4}
		a.Begin("0")
		for ; len(b) >= 3; b = b[3:] {
			before, position := a.Text(), a.Position()
			frame := kingcuphook.NewFrame(string('0'+b[0]%2), int(int8(b[1])), kinds[b[2]%4], string(b[:1]))
			ok, err := a.Accept(frame)
			if !ok && (a.Text() != before || a.Position() != position) {
				t.Fatal("a rejected frame changed the answer")
			}
			if ok && (frame.Attempt() != "0" || frame.Position() != position) {
				t.Fatal("accepted a frame of another attempt or position")
			}
			if err != nil || len(a.Text()) > 8 || a.Counts().Total() > 5 {
				break
			}
		}
		if len(a.Text()) > 8 || a.Counts().Total() > 5 {
			t.Fatal("the text or the number of rejected frames exceeds its limit")
		}
	})
}
