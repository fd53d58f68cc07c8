// Command experiment runs an installation under load with one failure, and prints the
// measurements with their targets.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/cli"
	"github.com/auburnyoke/auburnyoke/internal/experiment"
)

type options struct {
	User     string        `long:"user" choice:"loom-ledger" choice:"sargabusz" default:"loom-ledger" description:"user whose example document is used"`
	Examples string        `long:"examples" default:"examples" description:"directory of the example documents"`
	Scenario string        `long:"scenario" choice:"normal" choice:"lagging" choice:"excess" choice:"primary-killed" choice:"primary-silent" choice:"outage" choice:"host-stopped" choice:"host-killed" default:"normal" description:"what happens during the run"`
	Hosts    int           `long:"hosts" default:"4" description:"entry hosts, 2 to 16"`
	Duration time.Duration `long:"duration" default:"15s" description:"time during which requests arrive, at most 15m"`
	Outage   time.Duration `long:"outage" default:"10s" description:"length of the platform's outage"`
	Requests int           `long:"requests" description:"largest number of requests; 0 for no limit"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Output   string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the report"`
	Log      string        `long:"log" description:"file for the logs of hosts and instances"`
}

func main() {
	var o options
	cli.Main("experiment", &o, func() error { return run(o) })
}

func run(o options) error {
	document, err := os.ReadFile(filepath.Join(o.Examples, o.User+".yaml"))
	if err != nil {
		return fmt.Errorf("read example: %w", err)
	}
	log := io.Discard
	if o.Log != "" {
		file, err := os.Create(o.Log)
		if err != nil {
			return fmt.Errorf("create log: %w", err)
		}
		defer func() { _ = file.Close() }()
		log = file
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := experiment.Run(ctx, experiment.Options{
		User: o.User, Document: document, Scenario: experiment.Scenario(o.Scenario), Hosts: o.Hosts,
		Duration: o.Duration, Outage: o.Outage, Requests: o.Requests, Seed: o.Seed,
		Log: zerolog.New(log).Level(zerolog.InfoLevel).With().Timestamp().Logger(),
	})
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	if o.Output == "json" {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	}
	return report.WriteText(os.Stdout)
}
