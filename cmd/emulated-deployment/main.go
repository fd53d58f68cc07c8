// Command emulated-deployment emulates the platform on which entry hosts run, for the
// demo and for manual trials: the metadata store, the promote call and database groups
// that speak the line protocol, all on loopback. It writes a settings file for each host
// and runs until it is interrupted.
package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/cli"
	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// replicaLag and connections have the values of the users' smaller database group.
const (
	replicaLag  = 60 * time.Millisecond
	connections = 16
)

type options struct {
	Directory string `long:"directory" required:"true" description:"where the settings files are written"`
	Hosts     int    `long:"hosts" default:"2" description:"number of settings files"`
	Port      int    `long:"port" default:"19000" description:"first port of the hosts; each takes three"`
}

func main() {
	var o options
	cli.Main("emulated-deployment", &o, func() error { return run(o) })
}

// maxHosts is the number of hosts that have loopback addresses of their own.
const maxHosts = 254

func run(o options) error {
	if o.Hosts > maxHosts {
		return eris.Errorf("%d hosts: at most %d are supported", o.Hosts, maxHosts)
	}
	ctx, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	zones := []string{"gondar", "woldia"}
	d, stop, err := deployment.Start([]string{"ledger", "routes"}, zones, replicaLag, connections)
	if err != nil {
		return fmt.Errorf("start the emulated deployment: %w", err)
	}
	defer stop()
	err = d.Configure(1, []deployment.Account{
		{Name: "clerks", Keys: []string{"key-clerks"}, Rate: 1000, Burst: 1000},
		{Name: "buyers", Keys: []string{"key-buyers"}, Rate: 10, Burst: 10},
	})
	if err != nil {
		return fmt.Errorf("write the configuration: %w", err)
	}
	for n := range o.Hosts {
		name := fmt.Sprintf("host-%d", n+1)
		path := filepath.Join(o.Directory, name+".toml")
		// Each host has an IP address of its own, since its metrics have a fixed port.
		ip := fmt.Sprintf("127.0.0.%d", n+1)
		text := deployment.Settings(name, zones[n%len(zones)], ip, o.Port+10*n, d.StoreAddress, d.PromotionAddress)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		fmt.Printf("host %d: clients connect to %s:%d, settings in %s\n", n+1, ip, o.Port+10*n, path)
	}
	fmt.Printf("store: http://%s/-/objects/config\n", d.StoreAddress)
	go readCommands(d)
	<-ctx.Done()
	return nil
}

// readCommands injects the faults that are typed on standard input: "crash GROUP" stops
// the group's primary, "drain GROUP" makes it report that it is about to leave, "lose
// GROUP" runs the next write but breaks the connection instead of answering, "down" makes
// the store refuse all calls, and "up" makes it serve again. Other lines are ignored.
func readCommands(d *deployment.Deployment) {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		verb, name, _ := strings.Cut(lines.Text(), " ")
		switch verb {
		case "down", "up":
			d.Store.SetDown(verb == "down")
			continue
		}
		for _, g := range d.Groups {
			if g.Name != name {
				continue
			}
			switch verb {
			case "crash":
				g.Crash(g.Primary())
			case "drain":
				g.Drain(g.Primary())
			case "lose":
				g.LoseAnswers(1)
			}
		}
	}
}
