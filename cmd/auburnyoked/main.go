// Command auburnyoked is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/auburnyoke/auburnyoke/internal/cli"
	"github.com/auburnyoke/auburnyoke/internal/daemon"
)

type options struct {
	Settings string `long:"settings" short:"f" required:"true" description:"settings file in YAML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var o options
	cli.Main("auburnyoked", &o, func() error { return run(o) })
}

func run(o options) error {
	settings, err := daemon.LoadSettings(o.Settings)
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	if o.Check {
		fmt.Println("settings are valid")
		return nil
	}
	log, err := daemon.NewLog(os.Stderr, settings)
	if err != nil {
		return fmt.Errorf("build log: %w", err)
	}
	if limit := settings.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	host, cleanUp, err := daemon.New(settings, log)
	if err != nil {
		return fmt.Errorf("build host: %w", err)
	}
	defer cleanUp()
	// Building a go-zero server configures go-zero's log, so BridgeLog must follow it.
	daemon.BridgeLog(log)
	daemon.ExtendShutdown(settings.Grace)
	if err := host.Run(ctx); err != nil {
		return fmt.Errorf("run host: %w", err)
	}
	return nil
}
