// Package cli is the common main function of the commands. It parses the options and
// turns errors into exit codes.
package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the commands.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the command line into options, a pointer to a struct with go-flags tags,
// and calls run. It exits with ExitUsage if the command line is invalid. If run returns
// an error, Main prints it after the name and exits with ExitFailed.
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
