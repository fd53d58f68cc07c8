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
		User: user, Document: document, Scenario: experiment.Normal, Hosts: 2, Duration: time.Minute, Seed: 1,
		Requests: 150, Log: zerolog.New(io.Discard),
	}
}

// TestNormal guards against lost and repeated writes, and reads that miss their
// session's writes, on an installation without failures. How many requests are
// answered and how fast is not judged, since it depends on the machine.
func TestNormal(t *testing.T) {
	is := is.New(t)
	report, err := experiment.Run(context.Background(), options(t, "loom-ledger"))
	is.NoErr(err)
	is.Equal(report.Requests, 150)
	is.Equal(report.Violations, experiment.Violations{})
}

// TestOptions guards against runs without bounds.
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
