package instance

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Link identifies the connection of a replica to one source. It ends when the
// source changes, at a promotion and at a rewind. Records that were fetched on a link
// that has ended are not accepted.
type Link struct {
	Source string
	id     uint64
}

// Follow changes the source of a replica; the empty source stops replication.
// A primary becomes a replica only if demote is set; otherwise the source has no
// effect while it is a primary. Records of an earlier source are not accepted after
// Follow has returned.
func (e *Engine) Follow(source string, demote bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replaceSource(source)
	if demote && e.primary {
		e.primary = false
		e.roleChanges++
	}
}

// replaceSource replaces the source and ends the link.
func (e *Engine) replaceSource(source string) {
	e.source = source
	e.link++
	e.diverged = false
	e.streaming = false
	e.notify()
}

// Link returns the current link and the end of the received log. It returns false
// if nothing is to be fetched: on a primary, without a source and while replication
// is cut.
func (e *Engine) Link() (Link, LogPoint, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := Link{Source: e.source, id: e.link}
	return l, e.wal.end(), !e.primary && !e.cut && e.source != ""
}

// Receive appends the records that a fetch on link returned for the log point after.
// It reports whether they were accepted.
func (e *Engine) Receive(now proxy.Instant, link Link, after LogPoint, records []Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.primary || e.cut || link.id != e.link || e.wal.end() != after {
		return false
	}
	e.diverged = false
	e.streaming = true
	for _, r := range records {
		if r.Start != e.wal.end().Position {
			return false
		}
		e.wal = append(e.wal, r)
		e.receivedAt = append(e.receivedAt, now)
		e.highestTimeline = max(e.highestTimeline, r.Timeline)
	}
	if len(records) > 0 {
		e.notify()
	}
	return true
}

// MarkDiverged records that the log of the link's source does not continue the
// replica's log. It has no effect if the link has ended.
func (e *Engine) MarkDiverged(link Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if link.id == e.link {
		e.diverged = true
	}
}

// Replay applies the received records whose lag has passed. It returns the time at
// which to replay the next record, or false if there is none.
func (e *Engine) Replay(now proxy.Instant) (proxy.Instant, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.receivedAt) > 0 {
		replayAt := e.receivedAt[0].Add(e.lag)
		if replayAt > now {
			return replayAt, true
		}
		e.receivedAt = e.receivedAt[1:]
		e.replayNext()
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

// Read returns the records after a log point, up to the record that reaches limit
// bytes. It returns none if the log point is on the log's timeline but after its end.
// It returns errDiverged if the log does not contain the log point, and errCut while
// replication is cut.
func (e *Engine) Read(after LogPoint, limit int) ([]Record, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut {
		return nil, errCut
	}
	end := e.wal.end()
	if after.Position > end.Position && after.Timeline == end.Timeline && after.Origin == end.Origin {
		return nil, nil
	}
	if !e.wal.contains(after) {
		return nil, errDiverged
	}
	first := e.wal.after(after.Position)
	last := first
	for bytes := 0; last < len(e.wal) && bytes < limit; last++ {
		bytes += int(e.wal[last].End - e.wal[last].Start)
	}
	return e.wal[first:last:last], nil
}

// Segments returns the segments of the log.
func (e *Engine) Segments() ([]Segment, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut {
		return nil, errCut
	}
	return e.wal.segments(), nil
}

// Promote replays all received records, starts a new timeline and makes the replica
// a primary.
func (e *Engine) Promote() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.primary {
		return errorf(stateNotInPrerequisite, "recovery is not in progress")
	}
	e.receivedAt = nil
	for e.replayed < len(e.wal) {
		e.replayNext()
	}
	e.highestTimeline++
	e.primary = true
	e.roleChanges++
	e.replaceSource("")
	e.append(nil)
	return nil
}

// Rewind discards the part of the log that source does not have, given source's
// segments, and makes the instance a replica of source.
func (e *Engine) Rewind(source string, segments []Segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	keep := e.wal.after(commonPosition(e.wal.segments(), segments))
	e.wal = append(walRecords(nil), e.wal[:keep]...)
	e.rows = make(map[string]string)
	e.receivedAt = nil
	e.replayed = 0
	for e.replayed < len(e.wal) {
		e.replayNext()
	}
	e.primary = false
	e.roleChanges++
	e.replaceSource(source)
}
