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

// init makes the verdict of the properties the same on every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func data(attempt string, position int, text string) kingcuphook.Frame {
	return kingcuphook.NewFrame(attempt, position, kingcuphook.FrameKindData, text)
}

func finish(attempt string, position int) []kingcuphook.Frame {
	return []kingcuphook.Frame{
		kingcuphook.NewFrame(attempt, position, kingcuphook.FrameKindFinish, "stop"),
		kingcuphook.NewFrame(attempt, position, kingcuphook.FrameKindEnd, ""),
	}
}

// answer returns the frames of an attempt for the text from a position on.
func answer(attempt, text string, from int) []kingcuphook.Frame {
	var frames []kingcuphook.Frame
	for i := from; i < len(text); i++ {
		frames = append(frames, data(attempt, i, text[i:i+1]))
	}
	return append(frames, finish(attempt, len(text))...)
}

// TestHarmless mixes repeated, late and foreign frames into an answer.
func TestHarmless(t *testing.T) {
	is := is.New(t)
	var a Assembler
	a.Begin("a1")
	for _, f := range answer("a1", "whole", 0) {
		for _, bad := range []kingcuphook.Frame{data("a0", a.Position(), "x"), data("a1", a.Position()-1, "x")} {
			ok, err := a.Accept(bad)
			is.True(!ok)
			is.NoErr(err)
		}
		ok, err := a.Accept(f)
		is.True(ok)
		is.NoErr(err)
	}
	is.True(a.Whole())
	is.Equal(a.Finish(), "stop")
	is.Equal(a.Text(), "whole")
	is.Equal(a.Counts(), Counts{Foreign: 7, Repeated: 7})
	for _, f := range append(finish("a1", 5), data("a1", 5, "x")) {
		ok, err := a.Accept(f)
		is.True(!ok)
		is.NoErr(err)
	}
	is.Equal(a.Counts().Late, 3)
	is.Equal(a.Text(), "whole")
}

func TestBroken(t *testing.T) {
	for name, frames := range map[string][]kingcuphook.Frame{
		"gap":                  {data("a1", 0, "w"), data("a1", 2, "o")},
		"end without finish":   {kingcuphook.NewFrame("a1", 0, kingcuphook.FrameKindEnd, "")},
		"finish without words": {kingcuphook.NewFrame("a1", 0, kingcuphook.FrameKindFinish, "")},
		"finish ahead":         {data("a1", 0, "w"), finish("a1", 2)[0]},
		"unknown kind":         {kingcuphook.NewFrame("a1", 0, "what", "")},
		"too many foreign":     {data("a0", 0, ""), data("a0", 0, ""), data("a0", 0, "")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := Assembler{MaxRefused: 2}
			a.Begin("a1")
			var err error
			for _, f := range frames {
				is.NoErr(err)
				_, err = a.Accept(f)
			}
			is.True(errors.Is(err, kingcuphook.ErrBrokenStream))
			is.True(!a.Whole())
		})
	}
}

func TestTooLarge(t *testing.T) {
	is := is.New(t)
	a := Assembler{MaxBytes: 3}
	a.Begin("a1")
	_, err := a.Accept(data("a1", 0, "abc"))
	is.NoErr(err)
	_, err = a.Accept(data("a1", 1, "d"))
	is.True(errors.Is(err, kingcuphook.ErrTooLarge))
	is.Equal(a.Text(), "abc")
}

// feed offers frames in a random order with random others until one breaks the
// attempt.
func feed(t *rapid.T, a *Assembler, frames []kingcuphook.Frame) {
	for range rapid.IntRange(0, 40).Draw(t, "frames") {
		f := frames[min(a.Position(), len(frames)-1)]
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			f = frames[rapid.IntRange(0, len(frames)-1).Draw(t, "any")]
		case 1:
			f = data("other", rapid.IntRange(0, 9).Draw(t, "position"), "x")
		case 2:
			f = frames[len(frames)-1]
		}
		if _, err := a.Accept(f); err != nil {
			return
		}
	}
}

// TestAnswerIsOwn holds that the text is a beginning of the answer whatever
// comes in over any number of attempts, and all of it once it is whole.
func TestAnswerIsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat("abcdefgh", 2)[:rapid.IntRange(0, 16).Draw(t, "length")]
		var a Assembler
		for i := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			id := string(rune('a' + i))
			if rapid.Bool().Draw(t, "restart") && !a.Whole() {
				a.Restart()
			}
			a.Begin(id)
			feed(t, &a, answer(id, text, 0))
			if !strings.HasPrefix(text, a.Text()) || a.Position() != len(a.Text()) {
				t.Fatalf("%q at %d", a.Text(), a.Position())
			}
			if a.Whole() && a.Text() != text {
				t.Fatalf("whole with %q", a.Text())
			}
		}
	})
}

// FuzzAccept reads three bytes as a frame.
func FuzzAccept(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0, 0, 2, 1, 0, 2, 2})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 1, 0, 5, 0})
	kinds := []kingcuphook.FrameKind{kingcuphook.FrameKindData, kingcuphook.FrameKindFinish, kingcuphook.FrameKindEnd, "other"}
	f.Fuzz(func(t *testing.T, b []byte) {
		a := Assembler{MaxBytes: 8, MaxRefused: 4}
		a.Begin("0")
		for ; len(b) >= 3; b = b[3:] {
			before, position := a.Text(), a.Position()
			frame := kingcuphook.NewFrame(string('0'+b[0]%2), int(int8(b[1])), kinds[b[2]%4], string(b[:1]))
			ok, err := a.Accept(frame)
			if !ok && (a.Text() != before || a.Position() != position) {
				t.Fatal("a refused frame changed the answer")
			}
			if ok && (frame.Attempt() != "0" || frame.Position() != position) {
				t.Fatal("a foreign frame counted")
			}
			if err != nil || len(a.Text()) > 8 || a.Counts().Total() > 5 {
				break
			}
		}
		if len(a.Text()) > 8 || a.Counts().Total() > 5 {
			t.Fatal("over a bound")
		}
	})
}
