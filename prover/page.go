package prover

import (
	"fmt"
	"slices"
	"strings"
)

// Result is a cell with what it showed.
type Result struct {
	// Cell is what was tried.
	Cell Cell
	// Observation is what it showed.
	Observation Observation
}

// Page returns the page of the fault matrix for the results of Singles and
// Pairs.
func Page(singles, pairs []Result) string {
	var b strings.Builder
	b.WriteString(pageHead)
	fmt.Fprintf(&b, "| | cells | faults injected | violations |\n|---|---|---|---|\n")
	writeTotal(&b, "one fault", singles)
	writeTotal(&b, "two faults at once", pairs)
	for _, k := range Kinds {
		writeKind(&b, k, singles)
	}
	b.WriteString(pagePairs)
	writePairs(&b, pairs)
	return b.String()
}

const pageHead = `# Fault matrix

Written by ` + "`go test ./prover -run TestMatrix -update`" + ` and checked by ` + "`go test ./prover`" + `.
Do not edit.

Each cell is a world of its own under a virtual clock: three routers with whole
data paths, four upstreams and a store, the last two being stand-ins that record
what they ran. Router 0 gets a call, the faults happen when it reaches the step,
and a call with a key is sent again: through routers 1 and 2 at the same moment,
and once more after 45 s. A cell shows what the first caller got and, after a
semicolon, what the last resend got, each as expected → observed. Expected
results follow from the rules in design/requests.md. Where more than one result
is allowed, depending on which of two things at the same moment comes first, the
cell gives them all.

Every cell is checked against the records of the stand-ins: runs per idempotency
key at most one, no byte of another answer, no clean end of a partial answer, no
` + "`not-run`" + ` of a request that ran, no ` + "`ran`" + ` of one that did not, every error typed
and in time, and no engine left at work on an answer that nobody takes.

` + "`lost`" + ` means that the connection to the router broke, ` + "`replayed`" + ` that the stored
outcome was returned. Upstream faults have no cell at steps where no attempt
runs, nor frame faults with plain services. A paused router of the stand-in
holds its calls and not its timers.

`

const pagePairs = `
## Two faults at once

Every pair of faults, the same one twice included, at the same step. Checked for
violations only.

`

func writeTotal(b *strings.Builder, name string, results []Result) {
	faults, violations := 0, 0
	for _, r := range results {
		faults += len(r.Cell.Faults)
		violations += len(r.Observation.Violations)
	}
	fmt.Fprintf(b, "| %s | %d | %d | %d |\n", name, len(results), faults, violations)
}

func writeKind(b *strings.Builder, k Kind, results []Result) {
	fmt.Fprintf(b, "\n## %s\n\n| fault |", k)
	for _, s := range Steps {
		fmt.Fprintf(b, " %s |", s)
	}
	b.WriteString("\n|" + strings.Repeat("---|", 1+len(Steps)) + "\n")
	for _, f := range Faults {
		row := cellsOf(k, f, results)
		if strings.Trim(strings.Join(row, ""), "-") == "" {
			continue
		}
		fmt.Fprintf(b, "| %s | %s |\n", f, strings.Join(row, " | "))
	}
}

// cellsOf returns the text of each step.
func cellsOf(k Kind, f Fault, results []Result) []string {
	row := make([]string, 0, len(Steps))
	for _, s := range Steps {
		i := slices.IndexFunc(results, func(r Result) bool {
			return r.Cell.Kind == k && r.Cell.Step == s && r.Cell.Faults[0] == f
		})
		if i < 0 {
			row = append(row, "-")
			continue
		}
		row = append(row, results[i].text())
	}
	return row
}

func (r Result) text() string {
	first, last := Expect(r.Cell)
	text := compare(first, r.Observation.First)
	if r.Cell.Kind.claimed() {
		text += "; " + compare(last, r.Observation.Last)
	}
	if n := len(r.Observation.Violations); n > 0 {
		text += fmt.Sprintf(" (%d violations)", n)
	}
	return text
}

func compare(expected, observed string) string {
	if strings.Contains(expected, "|") && Matches(expected, observed) {
		observed = "one of them"
	}
	return strings.ReplaceAll(expected, "|", " or ") + " → " + observed
}

func writePairs(b *strings.Builder, results []Result) {
	b.WriteString("| call |")
	for _, s := range PairSteps {
		fmt.Fprintf(b, " %s |", s)
	}
	b.WriteString("\n|" + strings.Repeat("---|", 1+len(PairSteps)) + "\n")
	for _, k := range Kinds {
		fmt.Fprintf(b, "| %s |", k)
		for _, s := range PairSteps {
			cells, violations := 0, 0
			for _, r := range results {
				if r.Cell.Kind == k && r.Cell.Step == s {
					cells++
					violations += len(r.Observation.Violations)
				}
			}
			fmt.Fprintf(b, " %d cells, %d violations |", cells, violations)
		}
		b.WriteString("\n")
	}
}
