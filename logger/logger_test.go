package logger

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Operators look up events in docs/EVENTS.md, so it must list every event as logged.
func TestCatalogueMatchesDocs(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	is.NoErr(err)
	rows := 0
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| KCH") {
			rows++
		}
	}
	is.Equal(rows, len(Catalogue()))
	last := 0
	for _, e := range Catalogue() {
		is.True(e.Number > last) // numbers are unique and ascending
		last = e.Number
		row := fmt.Sprintf("| KCH%d | %s | %s |", e.Number, e.Level, e.Message)
		is.True(strings.Contains(string(page), row)) // the page has the row of the event
	}
}

func TestLogWritesNumberAndFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out, "json", LevelInfo)
	l.With("region", "cairo").Log(Started, "address", "127.0.0.1:1")
	l.Log(PeerFailed)
	is.True(strings.Contains(out.String(), `"event":"KCH1001"`))
	is.True(strings.Contains(out.String(), `"region":"cairo"`))
	is.True(!strings.Contains(out.String(), "KCH1401")) // PeerFailed is below LevelInfo
}
