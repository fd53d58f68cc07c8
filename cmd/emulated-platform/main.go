// Command emulated-platform serves an object store in memory, in place of the
// platform's, for tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"

	"github.com/auburnyoke/auburnyoke/internal/cli"
	"github.com/auburnyoke/auburnyoke/internal/emulator/platform"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

type options struct {
	Listen string   `long:"listen" default:"127.0.0.1:17000" description:"address of the HTTP listener, host:port"`
	Hosts  []string `long:"host" description:"host to put on the list of hosts, as ENVIRONMENT/STAGE/NAME,ZONE,ADDRESS; may be repeated"`
}

func main() {
	var o options
	cli.Main("emulated-platform", &o, func() error { return run(o) })
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
	emulator := platform.NewServer()
	if err := registerHosts(emulator.Memory, o.Hosts); err != nil {
		return fmt.Errorf("option --host: %w", err)
	}
	server.AddRoutes(emulator.Routes())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go server.Start()
	fmt.Printf("emulated-platform listens on %s\n", o.Listen)
	<-stop
	server.Stop()
	return nil
}

// registerHosts adds hosts to the platform's list of hosts.
func registerHosts(store proxy.Store, hosts []string) error {
	for _, text := range hosts {
		fields := strings.Split(text, ",")
		path := strings.Split(fields[0], "/")
		if len(fields) != 3 || len(path) != 3 {
			return fmt.Errorf("%q: want ENVIRONMENT/STAGE/NAME,ZONE,ADDRESS", text)
		}
		state := proxy.HostState{ID: proxy.HostID(path[2]), Zone: proxy.Zone(fields[1]), Address: fields[2]}
		if err := state.Validate(); err != nil {
			return fmt.Errorf("%q: %w", text, err)
		}
		value, err := json.Marshal(state)
		if err != nil {
			return fmt.Errorf("encode host: %w", err)
		}
		key := proxy.HostPrefix(proxy.EnvironmentID(path[0]), proxy.Stage(path[1])) + proxy.Key(state.ID)
		if _, err := store.Put(context.Background(), key, value, 0); err != nil {
			return fmt.Errorf("put host %s: %w", state.ID, err)
		}
	}
	return nil
}
