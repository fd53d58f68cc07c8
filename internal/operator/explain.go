package operator

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/trace"
)

type explainCommand struct {
	Arguments struct {
		Request string           `positional-arg-name:"ID" required:"1" description:"id of the request"`
		Files   []flags.Filename `positional-arg-name:"FILE" description:"logs of the hosts; standard input where none is given"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander; the client runs commands itself.
func (*explainCommand) Execute([]string) error { return nil }

func (c *explainCommand) run(inv *invocation) error {
	lines, err := c.read(inv)
	if err != nil {
		return err
	}
	matching := trace.Reconstruct(lines, c.Arguments.Request)
	if len(matching) == 0 {
		return eris.Errorf("no line of the logs names request %.80q; successful requests are sampled", c.Arguments.Request)
	}
	var text strings.Builder
	for _, line := range matching {
		fmt.Fprintln(&text, line)
	}
	return inv.printResult(text.String(), matching)
}

func (c *explainCommand) read(inv *invocation) ([]trace.Line, error) {
	if len(c.Arguments.Files) == 0 {
		return trace.Read(inv.Input)
	}
	var lines []trace.Line
	for _, name := range c.Arguments.Files {
		read, err := readLog(string(name))
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(name string) ([]trace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines, err := trace.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}
