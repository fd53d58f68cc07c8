// Command emulated-instance runs the emulator of a PostgreSQL database instance.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
)

type options struct {
	Name        string        `long:"name" required:"true" description:"Name of the instance, unique in its group"`
	Address     string        `long:"address" default:"127.0.0.1:0" description:"host:port for database clients"`
	Control     string        `long:"control" default:"127.0.0.1:0" description:"host:port for control requests"`
	Source      string        `long:"source" description:"Control address of the primary to follow"`
	Replica     bool          `long:"replica" description:"Start as a replica even without a source"`
	Rebuild     bool          `long:"rebuild" description:"Rewind when told to follow a primary whose log does not continue this one"`
	User        string        `long:"user" description:"Only user; any user if empty"`
	Password    string        `long:"password" env:"EMULATED_INSTANCE_PASSWORD" description:"Password for SCRAM-SHA-256; none is asked if empty"`
	Certificate string        `long:"certificate" description:"PEM file with the TLS certificate"`
	Key         string        `long:"key" description:"PEM file with the TLS key"`
	Lag         time.Duration `long:"lag" description:"Replication lag"`
	Delay       time.Duration `long:"delay" description:"Delay of each answer"`
	Cost        time.Duration `long:"cost" default:"12ms" description:"Cost of a new connection"`
	Slots       int           `long:"slots" description:"Statements that run at once; 0 for no limit"`
	Connections int           `long:"connections" description:"Limit of connections; 0 for none"`
	Verbose     bool          `long:"verbose" description:"Log at debug level"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	level := zerolog.InfoLevel
	if o.Verbose {
		level = zerolog.DebugLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("instance", o.Name).Logger()
	if err := run(o, log); err != nil {
		log.Error().Err(err).Msg("instance failed")
		os.Exit(1)
	}
}

// run serves the instance until the process receives SIGINT or SIGTERM.
func run(o options, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	settings := instance.Options{
		Name: o.Name, Address: o.Address, Control: o.Control, Source: o.Source, Replica: o.Replica, Rebuild: o.Rebuild,
		User: o.User, Password: o.Password, Log: log,
		Faults: instance.Faults{
			Lag: o.Lag, Delay: o.Delay, Cost: o.Cost, Slots: o.Slots, Connections: o.Connections,
		},
	}
	if o.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
		if err != nil {
			return fmt.Errorf("TLS certificate: %w", err)
		}
		settings.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	}
	i, cleanUp, err := instance.New(settings)
	if err != nil {
		return fmt.Errorf("new instance: %w", err)
	}
	defer cleanUp()
	log.Info().Str("address", i.Address()).Str("control", i.ControlAddress()).Msg("listening")
	return i.Run(ctx)
}
