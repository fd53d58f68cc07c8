package instance

import (
	"context"
	"fmt"
)

// Status is what an instance reports of itself.
type Status struct {
	Name string `json:"name"`
	State
	// Connections counts open authenticated connections. Highest is the
	// largest number ever, including refused ones.
	Connections int `json:"connections"`
	Highest     int `json:"highest"`
	Refused     int `json:"refused"`
	// Running and Waiting count statements; Peak is the largest number that
	// ever ran at once.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Peak    int `json:"peak"`
}

// Status returns the current status.
func (i *Instance) Status() Status {
	s := Status{Name: i.options.Name, State: i.engine.State()}
	s.Running, s.Waiting, s.Peak = i.slots.counts()
	i.mu.Lock()
	defer i.mu.Unlock()
	s.Connections, s.Highest, s.Refused = i.admitted, i.highest, i.refused
	return s
}

// Faults returns the faults in force.
func (i *Instance) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// SetFaults replaces the faults. A lower limit of connections closes none.
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

// Silence swallows from now on all bytes of the open connection with the given
// backend process id and reports whether there is one.
func (i *Instance) Silence(pid uint32) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	c, ok := i.connections[pid]
	if ok {
		c.client.silent.Store(true)
	}
	return ok
}

// SilenceAll swallows from now on all bytes of the connections that are open
// now and returns their number. New connections work.
func (i *Instance) SilenceAll() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.connections {
		c.client.silent.Store(true)
	}
	return len(i.connections)
}

// Follow changes the source of a replica to a control address; the empty
// address stops replication. A primary restarts as a replica of the source: its
// connections are closed.
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
