package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/configurer"
	"github.com/kingcuphook/kingcuphook/parser"
)

type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Settings, routes or pools"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	var routes *parser.RouteTable
	var pools *parser.PoolTable
	for _, file := range c.Args.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return &kingcuphook.InputError{File: file, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
		}
		switch {
		case bytes.Contains(data, []byte("[[route]]")):
			routes, err = parser.ParseRoutes(file, data)
		case bytes.Contains(data, []byte("[[pool]]")):
			pools, err = parser.ParsePools(file, data)
		default:
			_, err = (&configurer.Configurer{File: file}).Parse(data)
		}
		if err != nil {
			return err
		}
	}
	if routes != nil && pools != nil {
		if err := parser.Validate(routes, pools); err != nil {
			return err
		}
	}
	fmt.Fprintf(stdout, "%d files are valid\n", len(c.Args.Files))
	return nil
}
