package instance

import (
	"sort"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// logStart is the position of an empty log. PostgreSQL also starts at its second
// 16 MiB segment.
const logStart proxy.Position = 0x1000000

// Space that records take in the log besides their keys and values, in bytes.
const (
	recordOverhead  = 40
	changeOverhead  = 24 // for each change of the record
	recordAlignment = 8
)

// Change is the new value of a key.
type Change struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Record is a log record: one commit, or the start of a timeline if it has no
// changes.
//
// A primary writes a timeline under its own name, Origin, and never writes the same
// timeline again. Two logs that contain records with equal End, Timeline and Origin
// are therefore equal up to that record.
type Record struct {
	Start    proxy.Position `json:"start"`
	End      proxy.Position `json:"end"`
	Timeline uint32         `json:"timeline"`
	Origin   string         `json:"origin"`
	Changes  []Change       `json:"changes"`
}

// recordLength returns the space that a record with these changes takes in the log.
func recordLength(changes []Change) proxy.Position {
	n := recordOverhead
	for _, c := range changes {
		n += changeOverhead + len(c.Key) + len(c.Value)
	}
	return proxy.Position((n + recordAlignment - 1) / recordAlignment * recordAlignment)
}

// LogPoint identifies a point in a log: its start or the end of a record.
type LogPoint struct {
	Position proxy.Position `json:"position"`
	Timeline uint32         `json:"timeline"`
	Origin   string         `json:"origin"`
}

func (r Record) logPoint() LogPoint {
	return LogPoint{Position: r.End, Timeline: r.Timeline, Origin: r.Origin}
}

// Segment is the part of a log that belongs to one timeline. It is not a WAL segment
// file.
type Segment struct {
	Timeline uint32         `json:"timeline"`
	Origin   string         `json:"origin"`
	Start    proxy.Position `json:"start"`
	End      proxy.Position `json:"end"`
}

// walRecords is a log in memory: records in ascending order without gaps.
type walRecords []Record

// end returns the point after the last record.
func (w walRecords) end() LogPoint {
	if len(w) == 0 {
		return LogPoint{Position: logStart, Timeline: 1}
	}
	return w[len(w)-1].logPoint()
}

// after returns the index of the first record that ends after position.
func (w walRecords) after(position proxy.Position) int {
	return sort.Search(len(w), func(i int) bool { return w[i].End > position })
}

// contains reports whether p is the start of the log or the end of one of its records.
func (w walRecords) contains(p LogPoint) bool {
	if p.Position == logStart {
		return true
	}
	i := w.after(p.Position)
	return i > 0 && w[i-1].logPoint() == p
}

// segments returns the log's timelines.
func (w walRecords) segments() []Segment {
	var out []Segment
	for _, r := range w {
		n := len(out)
		if n > 0 && out[n-1].Timeline == r.Timeline && out[n-1].Origin == r.Origin {
			out[n-1].End = r.End
			continue
		}
		out = append(out, Segment{Timeline: r.Timeline, Origin: r.Origin, Start: r.Start, End: r.End})
	}
	return out
}

// commonPosition returns the position up to which two logs are equal, given their
// segments.
func commonPosition(a, b []Segment) proxy.Position {
	common := logStart
	for i := 0; i < len(a) && i < len(b); i++ {
		if a[i].Timeline != b[i].Timeline || a[i].Origin != b[i].Origin || a[i].Start != b[i].Start {
			break
		}
		common = min(a[i].End, b[i].End)
		if a[i].End != b[i].End {
			break
		}
	}
	return common
}
