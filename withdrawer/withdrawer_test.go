package withdrawer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kingcuphook/kingcuphook"
)

var start = time.Unix(1_700_000_000, 0)

func row(address, instance string, born int64) kingcuphook.UpstreamFields {
	return kingcuphook.UpstreamFields{Address: address, Instance: instance, Born: born}
}

func tables(rows ...kingcuphook.UpstreamFields) *kingcuphook.Tables {
	f := kingcuphook.PoolFields{Name: "pool"}
	for _, r := range rows {
		f.Upstreams = append(f.Upstreams, kingcuphook.NewUpstream(r))
	}
	return kingcuphook.NewTables(7, nil, []*kingcuphook.Pool{kingcuphook.NewPool(f)})
}

// leaving returns the instances that leave.
func leaving(t *kingcuphook.Tables) string {
	text := ""
	for _, u := range t.Pool("pool").Upstreams() {
		if u.Leaving() {
			text += u.Instance() + " "
		}
	}
	return text
}

func program(f kingcuphook.UpstreamFields) kingcuphook.Program {
	return kingcuphook.NewUpstream(f).Program()
}

func TestHoldsUntilAnotherProgramRuns(t *testing.T) {
	is := is.New(t)
	a, b := row("10.0.0.1:80", "a", 5), row("10.0.0.2:80", "b", 6)
	var w Withdrawer
	both := tables(a, b)
	is.Equal(w.Apply(start, both), both) // nothing is changed, nothing copied
	is.True(w.Said(start, program(a)))
	is.True(!w.Said(start, program(a))) // no news
	changed := w.Apply(start, both)
	is.Equal(leaving(changed), "a ")
	is.Equal(changed.Revision(), both.Revision())
	is.Equal(w.Apply(start, both), changed) // the same until something changes

	// Whatever becomes of its registration: gone, back, ready, for long.
	now := start
	for range 20 {
		now = now.Add(forgetAfter / 2)
		is.Equal(leaving(w.Apply(now, tables(a, b))), "a ")
	}
	is.Equal(leaving(w.Apply(now, tables(b))), "")
	is.Equal(leaving(w.Apply(now.Add(forgetAfter/2), tables(a, b))), "a ")

	is.Equal(leaving(w.Apply(now, tables(row("10.0.0.1:80", "a", 9), b))), "") // started again
	is.Equal(leaving(w.Apply(now, tables(row("10.0.0.1:80", "c", 5), b))), "") // another instance
}

func TestWhatIsInTheTablesIsNotForgotten(t *testing.T) {
	is := is.New(t)
	a := row("10.0.0.1:80", "a", 5)
	var w Withdrawer
	in := tables(a)
	w.Said(start, program(a))
	is.Equal(leaving(w.Apply(start, in)), "a ")
	later := start.Add(3 * forgetAfter) // nothing has changed meanwhile
	w.Said(later, program(row("10.0.0.9:80", "z", 1)))
	is.Equal(leaving(w.Apply(later, in)), "a ")
	is.Equal(leaving(w.Apply(later.Add(time.Second), tables(a))), "a ")
}

func TestWhatAPeerTellsLapses(t *testing.T) {
	is := is.New(t)
	a := row("10.0.0.1:80", "a", 5)
	var teller, hearer Withdrawer
	in := tables(a)
	teller.Said(start, program(a))
	teller.Apply(start, in)
	n, err := hearer.Told(start, teller.Encode())
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(leaving(hearer.Apply(start, in)), "a ")
	is.Equal(len(hearer.Encode()), 0) // it is not told on
	n, err = hearer.Told(start.Add(toldFor/2), teller.Encode())
	is.NoErr(err)
	is.Equal(n, 0) // known already
	is.Equal(leaving(hearer.Apply(start.Add(toldFor*3/2-1), in)), "a ")
	is.Equal(leaving(hearer.Apply(start.Add(toldFor*3/2), in)), "")
	is.Equal(leaving(hearer.Apply(start, tables(row("10.0.0.1:80", "a", 6)))), "") // another program
}

func TestTellsOnlyWhatTheStoreDoesNot(t *testing.T) {
	is := is.New(t)
	a := row("10.0.0.1:80", "a", 5)
	var w Withdrawer
	w.Said(start, program(a))
	w.Apply(start, tables(a))
	is.Equal(len(w.Encode()), entryBytes)
	is.Equal(w.Count(), 1)
	a.Leaving = true
	w.Apply(start, tables(a))
	is.Equal(len(w.Encode()), 0)
	is.Equal(w.Count(), 0)
}

func TestPayloadsAreBoundedAndTellAllInTurn(t *testing.T) {
	is := is.New(t)
	var teller, hearer Withdrawer
	rows := make([]kingcuphook.UpstreamFields, 0, 3*MaxEntries)
	for i := range 3 * MaxEntries {
		r := row(fmt.Sprintf("10.0.0.%d:80", i), "i", 1)
		rows = append(rows, r)
		teller.Said(start, program(r))
	}
	teller.Apply(start, tables(rows...))
	total := 0
	for range 3 {
		b := teller.Encode()
		is.Equal(len(b), MaxBytes)
		n, err := hearer.Told(start, b)
		is.NoErr(err)
		total += n
	}
	is.Equal(total, 3*MaxEntries)
	for range maxSaid + 100 {
		total++
		teller.Said(start, program(row("10.0.1.1:80", fmt.Sprint(total), 1)))
	}
	is.True(len(teller.said) <= maxSaid)
}

func TestTakesAnyPayload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Withdrawer
		for range 3 {
			payload := rapid.SliceOfN(rapid.Byte(), 0, 2*MaxBytes).Draw(t, "payload")
			if _, err := w.Told(start, payload); err != nil && !errors.Is(err, kingcuphook.ErrInvalid) {
				t.Fatal(err)
			}
		}
		w.Apply(start, tables(row("10.0.0.1:80", "a", 5)))
	})
}
