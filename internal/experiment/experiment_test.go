package experiment_test

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/experiment"
)

func options(t *testing.T, user string) experiment.Options {
	t.Helper()
	document, err := os.ReadFile(filepath.Join("..", "..", "examples", user+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return experiment.Options{
		User: user, Document: document, Scenario: experiment.Normal, Hosts: 3, Duration: 2 * time.Second, Seed: 1,
		Requests: 150, Log: zerolog.New(io.Discard),
	}
}

// TestViolations guards against lost and repeated writes, and against reads that miss
// their session's writes, after a primary or a host is killed. It doesn't check how many
// requests are answered and how fast, since that depends on the machine.
func TestViolations(t *testing.T) {
	for _, scenario := range []experiment.Scenario{experiment.Normal, experiment.PrimaryKilled, experiment.HostKilled} {
		t.Run(string(scenario), func(t *testing.T) {
			is := is.New(t)
			o := options(t, "loom-ledger")
			o.Scenario = scenario
			report, err := experiment.Run(context.Background(), o)
			is.NoErr(err)
			is.Equal(report.Requests, o.Requests)
			is.Equal(report.Violations, experiment.Violations{})
		})
	}
}

// TestOptions guards against runs whose options exceed the limits.
func TestOptions(t *testing.T) {
	for name, change := range map[string]func(*experiment.Options){
		"scenario": func(o *experiment.Options) { o.Scenario = "calm" },
		"hosts":    func(o *experiment.Options) { o.Hosts = 1 },
		"many":     func(o *experiment.Options) { o.Hosts = 17 },
		"duration": func(o *experiment.Options) { o.Duration = time.Hour },
		"outage":   func(o *experiment.Options) { o.Scenario, o.Outage = experiment.Outage, 2*time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := options(t, "sargabusz")
			change(&o)
			_, err := experiment.Run(context.Background(), o)
			is.True(err != nil)
		})
	}
}
