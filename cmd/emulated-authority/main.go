// Command emulated-authority writes certificates for the demo and tests.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/authority"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Directory  string `long:"directory" required:"true" description:"directory for authority.pem, NAME.pem and NAME.key"`
	Positional struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			os.Exit(0)
		}
		os.Exit(2)
	}
	a, err := authority.New("emulated authority", time.Now())
	if err == nil {
		err = a.Write(o.Directory, o.Positional.Names...)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "emulated-authority:", err)
		os.Exit(1)
	}
}
