package instance

import (
	"context"
	"fmt"
)

// Status is the answer to GET /status.
type Status struct {
	Name string `json:"name"`
	State
	// Connections counts the open authenticated connections and
	// PeakConnections is its highest value so far. Both include connections
	// that were refused above the limit, until they close.
	Connections        int `json:"connections"`
	PeakConnections    int `json:"highest"`
	RefusedConnections int `json:"refused"`
	// Running counts the statements that run, Waiting those that wait for a
	// slot. PeakRunning is the highest number that ran at once.
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	PeakRunning int `json:"peak"`
}

// Status returns the current status.
func (i *Instance) Status() Status {
	s := Status{Name: i.options.Name, State: i.engine.State()}
	s.Running, s.Waiting, s.PeakRunning = i.slots.counts()
	i.mu.Lock()
	defer i.mu.Unlock()
	s.Connections, s.PeakConnections, s.RefusedConnections = i.authenticated, i.peakConnections, i.refusedConnections
	return s
}

// Faults returns the current faults.
func (i *Instance) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// SetFaults replaces the faults. A lower limit of connections closes no open
// connection.
func (i *Instance) SetFaults(faults Faults) error {
	if err := faults.Validate(); err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	i.mu.Lock()
	i.faults = faults
	i.mu.Unlock()
	i.engine.SetLag(faults.Lag)
	i.engine.SetCut(faults.Cut)
	i.slots.setLimit(faults.Slots)
	return nil
}

// Silence makes the open connection with the given backend process id
// unresponsive: from now on the instance drops all bytes in both directions. It
// reports whether there is such a connection.
func (i *Instance) Silence(pid uint32) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	c, ok := i.connections[pid]
	if ok {
		c.client.unresponsive.Store(true)
	}
	return ok
}

// SilenceAll makes all connections that are open now unresponsive and returns
// their number. New connections are not affected.
func (i *Instance) SilenceAll() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.connections {
		c.client.unresponsive.Store(true)
	}
	return len(i.connections)
}

// Follow changes the source of a replica to a control address; the empty
// address stops replication. A primary becomes a replica of the source and closes
// its connections, as a restart would.
func (i *Instance) Follow(source string) {
	wasPrimary := i.engine.State().Primary
	i.engine.Follow(source, true)
	if wasPrimary {
		i.terminateAll()
	}
}

// Promote makes a replica the primary of a new timeline.
func (i *Instance) Promote() error { return i.engine.Promote() }

// Rewind discards the part of the log that source does not have and restarts
// the instance as a replica of source. Its connections are closed.
func (i *Instance) Rewind(ctx context.Context, source string) error {
	if i.Faults().Cut {
		return fmt.Errorf("rewind to %s: %w", source, errCut)
	}
	segments, err := fetchSegments(ctx, source)
	if err != nil {
		return fmt.Errorf("rewind to %s: %w", source, err)
	}
	i.engine.Rewind(source, segments)
	i.terminateAll()
	return nil
}
