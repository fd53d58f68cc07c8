// Package program is the frame of the commands: it parses the options and turns
// errors into exit codes.
package program

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the command line into options, a pointer to a struct of go-flags,
// and calls run. It ends the process with ExitUsage for a wrong command line
// and with ExitFailed for an error of run, which it prints after the name.
func Main(name string, options any, run func() error) {
	if _, err := flags.Parse(options); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(ExitUsage)
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitFailed)
	}
}
