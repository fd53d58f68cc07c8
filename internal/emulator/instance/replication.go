package instance

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Link is the right to append a source's log to a replica's. It ends when the
// source changes, at a promotion and at a rewind.
type Link struct {
	Source string
	id     uint64
}

// Follow changes the source of a replica; the empty source stops replication.
// A primary becomes a replica only where demote is set; otherwise the source
// has no effect until then. Nothing that an earlier source sends is received
// after Follow has returned.
func (e *Engine) Follow(source string, demote bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relink(source)
	if demote && e.primary {
		e.primary = false
		e.epoch++
	}
}

// relink replaces the source and ends the link.
func (e *Engine) relink(source string) {
	e.source = source
	e.link++
	e.diverged = false
	e.streaming = false
	e.notify()
}

// Link returns the current link and the end of the received log, or false if
// nothing is to be fetched now.
func (e *Engine) Link() (Link, Mark, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := Link{Source: e.source, id: e.link}
	return l, e.log.end(), !e.primary && !e.cut && e.source != ""
}

// Receive appends records that a fetch on link returned for after. It reports
// whether they were accepted.
func (e *Engine) Receive(now proxy.Instant, link Link, after Mark, records []Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.primary || e.cut || link.id != e.link || e.log.end() != after {
		return false
	}
	e.diverged = false
	e.streaming = true
	for _, r := range records {
		if r.Start != e.log.end().Position {
			return false
		}
		e.log = append(e.log, r)
		e.arrived = append(e.arrived, now)
		e.highest = max(e.highest, r.Timeline)
	}
	if len(records) > 0 {
		e.notify()
	}
	return true
}

// Refuse records that the source of link has a log that does not continue the
// replica's.
func (e *Engine) Refuse(link Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if link.id == e.link {
		e.diverged = true
	}
}

// Replay applies the received records whose lag has passed and returns when the
// next one is due.
func (e *Engine) Replay(now proxy.Instant) (proxy.Instant, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.arrived) > 0 {
		due := e.arrived[0].Add(e.lag)
		if due > now {
			return due, true
		}
		e.arrived = e.arrived[1:]
		e.apply()
	}
	return 0, false
}

// SetLag sets the time between the arrival and the replay of a record.
func (e *Engine) SetLag(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lag = lag
	e.notify()
}

// SetCut stops replication to and from the instance, or resumes it.
func (e *Engine) SetCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
	e.notify()
}

// Read returns at most limit bytes of records after a mark, at least one record
// if there is any. It returns errDiverged if the log has not passed through the
// mark, and errCut while replication is cut.
func (e *Engine) Read(after Mark, limit int) ([]Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut {
		return nil, errCut
	}
	end := e.log.end()
	if after.Position > end.Position && after.Timeline == end.Timeline && after.Origin == end.Origin {
		return nil, nil
	}
	if !e.log.contains(after) {
		return nil, errDiverged
	}
	first := e.log.after(after.Position)
	last := first
	for bytes := 0; last < len(e.log) && bytes < limit; last++ {
		bytes += int(e.log[last].End - e.log[last].Start)
	}
	return e.log[first:last:last], nil
}

// Segments returns the timelines of the log.
func (e *Engine) Segments() ([]Segment, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut {
		return nil, errCut
	}
	return e.log.segments(), nil
}

// Promote replays what the replica has received, starts a new timeline and
// makes the instance a primary.
func (e *Engine) Promote() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.primary {
		return errorf(stateNotInPrerequisite, "recovery is not in progress")
	}
	e.arrived = nil
	for e.replayed < len(e.log) {
		e.apply()
	}
	e.highest++
	e.primary = true
	e.epoch++
	e.relink("")
	e.append(nil)
	return nil
}

// Rewind discards the part of the log that source does not have, given source's
// segments, and makes the instance a replica of source.
func (e *Engine) Rewind(source string, segments []Segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	keep := e.log.after(fork(e.log.segments(), segments))
	e.log = append(history(nil), e.log[:keep]...)
	e.rows = make(map[string]string)
	e.arrived = nil
	e.replayed = 0
	for e.replayed < len(e.log) {
		e.apply()
	}
	e.primary = false
	e.epoch++
	e.relink(source)
}
