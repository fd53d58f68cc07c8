package operator

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// completionScript makes bash call the program for completions. It is the script from
// the documentation of go-flags.
const completionScript = `_auburnyoke() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -F _auburnyoke auburnyoke
`

type completionCommand struct{}

// Execute implements flags.Commander; the client runs commands itself.
func (*completionCommand) Execute([]string) error { return nil }

type completionResult struct {
	Script string `json:"script"`
}

func (*completionCommand) run(inv *invocation) error {
	return inv.printResult(completionScript, completionResult{Script: completionScript})
}

// printCompletions prints the completions that go-flags found for the current word, one
// per line.
func (inv *invocation) printCompletions(items []flags.Completion) {
	for _, item := range items {
		fmt.Fprintln(inv.Output, item.Item)
	}
}
