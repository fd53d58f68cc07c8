package operator

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// completionScript makes bash ask the program for completions, as go-flags
// documents it.
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

func (*completionCommand) run(s *session) error {
	return s.show(completionScript, completionResult{Script: completionScript})
}

// complete prints what go-flags offers for the word being typed.
func (s *session) complete(items []flags.Completion) {
	for _, item := range items {
		fmt.Fprintln(s.Output, item.Item)
	}
}
