// Command auburnyoke-entry is the daemon of an entry host on a platform that provides
// the settings file, the metadata store and the line protocol.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/cli"
	"github.com/auburnyoke/auburnyoke/internal/entry"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
	"github.com/auburnyoke/auburnyoke/platform"
)

// gcPercent makes garbage collections rare while the heap is small. They become frequent
// when the process approaches budget.HeapShare of the memory in the settings.
const gcPercent = 200

type options struct {
	Settings string `long:"settings" short:"f" description:"settings file; by default the one that the platform names"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() {
	var o options
	cli.Main("auburnyoke-entry", &o, func() error { return run(o) })
}

func run(o options) error {
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return fmt.Errorf("load settings: %w", err)
	}
	if o.Check {
		fmt.Println("settings are valid")
		return nil
	}
	debug.SetGCPercent(gcPercent)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Memory) * budget.HeapShare))
	}
	output, flush := entry.NewOutput(os.Stdout)
	defer flush()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(output).With().Timestamp().Str("host", string(settings.Host)).Logger()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go checkReloads(reload, path, settings, log)

	host, cleanUp := build(settings, log)
	defer cleanUp()
	dropped := metrics.NewFunctionalGauge(func() int64 { return int64(output.Dropped()) })
	if err := host.Metrics.Registry.Register("log.dropped", dropped); err != nil {
		return fmt.Errorf("register metric: %w", err)
	}
	if err := host.Run(ctx); err != nil {
		return fmt.Errorf("run host: %w", err)
	}
	return nil
}

// build returns a host on the platform and a function that releases its resources.
func build(settings entry.Settings, log zerolog.Logger) (*entry.Host, func()) {
	store, closeStore := platform.NewStore(settings.Store)
	memory := budget.New(settings.Memory)
	dialer := platform.NewDialer()
	dialer.Memory = memory
	host := &entry.Host{
		Settings: settings,
		Log:      log,
		Clock:    entry.BootClock{},
		Store:    store,
		Promoter: platform.NewPromotionClient(settings.Orders),
		Dialer:   dialer,
		Memory:   memory,
		Decode:   platform.Decoders(),
		Client:   func(conn net.Conn) entry.Client { return platform.NewClientConn(conn) },
		Metrics:  entry.NewMetrics(),
	}
	return host, closeStore
}

// checkReloads checks the settings file at each reload signal and logs the result. A
// host's settings, such as its addresses and identity, are fixed at its start; the
// platform restarts the host to change them.
func checkReloads(reload <-chan os.Signal, path string, current entry.Settings, log zerolog.Logger) {
	for range reload {
		settings, err := platform.LoadSettings(path)
		switch {
		case err != nil:
			log.Error().Err(err).Msg("settings were not reloaded")
		case settings != current:
			log.Warn().Msg("settings changed; they take effect after a restart")
		default:
			log.Info().Msg("settings reloaded without a change")
		}
	}
}
