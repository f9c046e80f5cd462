package main

import "fmt"

// completionScript is a Bash script that runs the program in its completion mode.
const completionScript = `_kingcuphook() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _kingcuphook kingcuphook
`

type completionCommand struct{}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	fmt.Fprint(stdout, completionScript)
	return nil
}
