package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"empty-key": emptyKey,
	"idle":      idle,
	"pipeline":  pipeline,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case that the arguments name, with the file of its record.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		return failed
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.end()
	ok, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case !ok:
		return broken
	default:
		return held
	}
}
