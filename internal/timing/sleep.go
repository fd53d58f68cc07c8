// Package timing waits in real time.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d and reports false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
