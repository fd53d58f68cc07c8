// Command emulated-authority writes certificates for the demo and tests.
package main

import (
	"time"

	"github.com/auburnyoke/auburnyoke/internal/cli"
	"github.com/auburnyoke/auburnyoke/internal/emulator/authority"
)

type options struct {
	Directory  string `long:"directory" required:"true" description:"directory for authority.pem, NAME.pem and NAME.key"`
	Positional struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

func main() {
	var o options
	cli.Main("emulated-authority", &o, func() error { return run(o) })
}

func run(o options) error {
	a, err := authority.New("emulated authority", time.Now())
	if err != nil {
		return err
	}
	return a.Write(o.Directory, o.Positional.Names...)
}
