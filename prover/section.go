package prover

import (
	"fmt"
	"strings"
)

// TestedFault is a fault that the cells don't play, with the tests that do.
type TestedFault struct {
	// Name is the name of the fault.
	Name string
	// Expected is what callers get, or what becomes of the part that it hits.
	Expected string
	// Tests are the tests that play it, each as its folder and its name.
	Tests []string
}

// Section is the part of the matrix on the faults of one kind.
type Section struct {
	// Title and Intro begin the section.
	Title, Intro string
	Faults       []TestedFault
}

// Sections are the parts of the matrix on faults that the cells don't play.
var Sections = []Section{
	{"Bodies and heads", connectionIntro, connectionFaults},
	{"Duties with one holder", dutyIntro, dutyFaults},
	{"Usage by organisation", usageIntro, usageFaults},
	{"Number of upstreams", capacityIntro, capacityFaults},
	{"Speeds of upstreams", speedIntro, speedFaults},
	{"Fairness over all routers", fairnessIntro, fairnessFaults},
	{"Moves of running streams", movesIntro, moveFaults},
	{"Where a request would go", whereIntro, whereFaults},
	{"KV memory of engines", kvMemoryIntro, kvMemoryFaults},
}

// write writes a section with a table row for each of its faults.
func (s Section) write(b *strings.Builder) {
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n| fault | expected | tests |\n|---|---|---|\n", s.Title, s.Intro)
	for _, f := range s.Faults {
		fmt.Fprintf(b, "| %s | %s | %s |\n", f.Name, f.Expected, strings.Join(f.Tests, ", "))
	}
}
