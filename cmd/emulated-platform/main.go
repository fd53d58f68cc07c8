// Command emulated-platform serves an object store in memory in the place of
// the platform, for tests and the demo.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/auburnyoke/auburnyoke/internal/emulator/platform"
	"github.com/jessevdk/go-flags"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:17000" description:"address of the HTTP listener, host:port"`
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
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "emulated-platform:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	host, portText, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return fmt.Errorf("option --listen: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return fmt.Errorf("option --listen: %w", err)
	}
	logx.Disable()
	server, err := rest.NewServer(rest.RestConf{Host: host, Port: port})
	if err != nil {
		return fmt.Errorf("build server: %w", err)
	}
	server.AddRoutes(platform.NewServer().Routes())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go server.Start()
	fmt.Printf("emulated-platform listens on %s\n", o.Listen)
	<-stop
	server.Stop()
	return nil
}
