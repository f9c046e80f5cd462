package transporter

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/rationer"
)

// checkIn passes text to a new limit in pieces of n bytes, as the first response of a connection.
func checkIn(r *rationer.Rationer, text string, n int) (*headLimit, error) {
	h := &headLimit{memory: r.Open(), rejected: new(atomic.Int64)}
	h.begin()
	for len(text) > 0 {
		piece := text[:min(n, len(text))]
		if err := h.check([]byte(piece)); err != nil {
			return h, err
		}
		text = text[len(piece):]
	}
	return h, nil
}

func TestHeadLimit(t *testing.T) {
	const status, more = "HTTP/1.1 200 OK\r\n", "A: b\r\n"
	hints := "HTTP/1.1 103 Early Hints\r\n" + more + "\r\n"
	for name, c := range map[string]struct {
		text  string
		err   error
		lines int
	}{
		"ordinary":            {status + strings.Repeat(more, 40) + "\r\n" + strings.Repeat("\n", MaxHeadLines), nil, 42},
		"bare line feeds":     {"HTTP/1.0 200 OK\nA: b\n\n" + strings.Repeat("x\n", MaxHeadLines), nil, 3},
		"interim":             {hints + hints + status + more + "\r\nbody\nbody\n", nil, 9},
		"interim, two spaces": {"HTTP/1.1  100\r\n\r\n" + status + "\r\nbody\n", nil, 4},
		"most lines":          {status + strings.Repeat(more, MaxHeadLines-2) + "\r\n", nil, MaxHeadLines},
		"most bytes":          {status + "A: " + strings.Repeat("b", MaxHeadBytes-24) + "\r\n\r\n", nil, 3},
		"too many lines":      {status + strings.Repeat(more, MaxHeadLines), ErrHead, 0},
		"too many interim":    {strings.Repeat(hints, MaxHeadLines/3+1), ErrHead, 0},
		"too many bytes":      {status + strings.Repeat("b", MaxHeadBytes), ErrHead, 0},
		"status without end":  {strings.Repeat("1", 2*MaxHeadBytes), ErrHead, 0},
	} {
		for _, n := range []int{1, 2, 7, 4096} {
			h, err := checkIn(nil, c.text, n)
			if !errors.Is(err, c.err) || h.rejected.Load() > 0 != (c.err != nil) {
				t.Errorf("%s in pieces of %d: %v, want %v", name, n, err, c.err)
			}
			if err != nil && !errors.Is(h.check([]byte("\r\n\r\n")), c.err) {
				t.Errorf("%s in pieces of %d: read on after %v", name, n, err)
			}
			if err == nil && (h.lines != c.lines || h.inHead) {
				t.Errorf("%s in pieces of %d: %d lines, want %d", name, n, h.lines, c.lines)
			}
		}
	}
}

func TestHeadsShareMemory(t *testing.T) {
	r := &rationer.Rationer{Bytes: 64 << 10}
	first, err := checkIn(r, "HTTP/1.1 200 OK\r\n"+strings.Repeat("A: b\r\n", 100), 4096)
	if err != nil {
		t.Fatal(err)
	}
	second, err := checkIn(r, strings.Repeat("A: b\r\n", 200), 4096)
	if !errors.Is(err, kingcuphook.ErrOutOfMemory) {
		t.Errorf("error %v, want that there is no room", err)
	}
	first.close()
	if err := second.check([]byte("\r\n\r\n")); !errors.Is(err, kingcuphook.ErrOutOfMemory) {
		t.Errorf("error %v of a head with a gap", err)
	}
	if held := r.Usage().Held; held != 0 {
		t.Errorf("%d bytes held by a closed connection", held)
	}
}

// The head of an answer found no room where large bodies of requests had used up theirs.
func TestHeadFindsRoomLeftToAnswers(t *testing.T) {
	r := &rationer.Rationer{Bytes: 20 * rationer.SmallBytes}
	if err := r.Open().Grow(15 * rationer.SmallBytes); err != nil {
		t.Fatal(err)
	}
	var h headLimit
	Transporter{Memory: r}.initHead(&h)
	h.begin()
	head := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", rationer.SmallBytes*3/4) + "\r\n\r\n"
	if err := h.check([]byte(head)); err != nil {
		t.Errorf("%v, want room", err)
	}
}
