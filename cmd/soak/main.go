// Command soak runs entry hosts as separate processes on loopback, injects faults from
// outside, and checks the guarantees of the system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/cli"
	"github.com/auburnyoke/auburnyoke/internal/soak"
)

type options struct {
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds    uint64        `long:"seeds" default:"1" description:"number of seeds, run one after the other"`
	Duration time.Duration `long:"duration" default:"20s" description:"time of the faults of each seed"`
	Hosts    int           `long:"hosts" default:"4" description:"number of entry hosts"`
	Clients  int           `long:"callers" default:"12" description:"number of callers"`
	Binary   string        `long:"binary" default:"bin/auburnyoke-entry" description:"program of an entry host"`
	Stops    bool          `long:"stops" description:"planned stops, reloads and changes only, with long transactions"`
	Sync     int           `long:"synchronous" description:"number of replicas that receive a commit before it is acknowledged"`
	Evacuate bool          `long:"evacuations" description:"evacuated zones and cold instances, with faults of hosts and the store"`
	Verbose  bool          `long:"verbose" short:"v" description:"print the faults as they begin"`
}

func main() {
	var o options
	cli.Main("soak", &o, func() error { return run(o) })
}

func run(o options) error {
	if o.Hosts < 1 || o.Hosts > soak.MaxHosts || o.Clients < 1 || o.Duration <= 0 || o.Sync < 0 {
		return eris.Errorf("want 1 to %d hosts, callers, a duration above 0 and no negative number of replicas", soak.MaxHosts)
	}
	// A closed output would otherwise end the process without ending the hosts.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := 0
	for seed := o.Seed; seed < o.Seed+o.Seeds && ctx.Err() == nil; seed++ {
		ok, err := runSeed(ctx, o, seed)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if !ok {
			failed++
		}
	}
	if ctx.Err() != nil {
		return eris.New("ended by a signal")
	}
	if failed > 0 {
		return eris.Errorf("%d of %d seeds broke a promise", failed, o.Seeds)
	}
	return nil
}

// runSeed runs one seed and reports whether all guarantees held. If not, it keeps the
// logs.
func runSeed(ctx context.Context, o options, seed uint64) (bool, error) {
	directory, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return false, fmt.Errorf("make directory: %w", err)
	}
	faultLog, err := os.Create(filepath.Join(directory, "faults.log"))
	if err != nil {
		return false, fmt.Errorf("create file of faults: %w", err)
	}
	defer func() { _ = faultLog.Close() }()
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Duration: o.Duration, Hosts: o.Hosts, Clients: o.Clients, Stops: o.Stops, Synchronous: o.Sync, Evacuations: o.Evacuate, Binary: o.Binary, Directory: directory,
		OnEvent: func(line string) {
			// A failed write is ignored: the list of faults only helps to analyze a failure.
			_, _ = fmt.Fprintln(faultLog, line)
			if o.Verbose {
				fmt.Println(line)
			}
		},
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d statements, %d succeeded, %d promises broken\n",
		seed, report.Statements, report.Succeeded, len(report.Violations))
	if len(report.Violations) == 0 {
		if err := os.RemoveAll(directory); err != nil {
			return false, fmt.Errorf("remove directory: %w", err)
		}
		return true, nil
	}
	for _, v := range report.Violations {
		fmt.Println("  " + v)
	}
	fmt.Println("  logs: " + directory)
	return false, nil
}
