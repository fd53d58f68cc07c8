// Command auburnyoke is the operators' command-line client.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/operator"
	"github.com/auburnyoke/auburnyoke/internal/platform"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	client := &operator.Client{
		Input:    os.Stdin,
		Output:   os.Stdout,
		Messages: os.Stderr,
		Now:      time.Now,
		Random:   rand.Reader,
		Open:     open,
		Sleep:    sleep,
	}
	code := client.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func open(address string) (proxy.Store, func(), error) {
	return platform.NewClient(address)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("interrupted: %w", ctx.Err())
	}
}
