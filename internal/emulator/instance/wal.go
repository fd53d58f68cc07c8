package instance

import (
	"sort"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// logStart is the position of an empty log; PostgreSQL starts at its second
// 16 MiB segment as well.
const logStart proxy.Position = 0x1000000

// Sizes that a record and a change occupy in the log besides their text, in bytes.
const (
	recordSize = 40
	changeSize = 24
	alignment  = 8
)

// Change is the new value of a key.
type Change struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Record is one commit or the start of a timeline, which has no changes.
//
// A primary writes each timeline alone and under its own name, and never reuses
// a timeline. Two logs with a record of equal End, Timeline and Origin are
// therefore equal up to that record.
type Record struct {
	Start    proxy.Position `json:"start"`
	End      proxy.Position `json:"end"`
	Timeline uint32         `json:"timeline"`
	Origin   string         `json:"origin"`
	Changes  []Change       `json:"changes"`
}

// size returns the bytes of log that the changes occupy.
func size(changes []Change) proxy.Position {
	n := recordSize
	for _, c := range changes {
		n += changeSize + len(c.Key) + len(c.Value)
	}
	return proxy.Position((n + alignment - 1) / alignment * alignment)
}

// Mark identifies the end of a log.
type Mark struct {
	Position proxy.Position `json:"position"`
	Timeline uint32         `json:"timeline"`
	Origin   string         `json:"origin"`
}

func (r Record) mark() Mark {
	return Mark{Position: r.End, Timeline: r.Timeline, Origin: r.Origin}
}

// Segment is the part of a log that belongs to one timeline.
type Segment struct {
	Timeline uint32         `json:"timeline"`
	Origin   string         `json:"origin"`
	Start    proxy.Position `json:"start"`
	End      proxy.Position `json:"end"`
}

// history is a log in memory: records in ascending order without gaps.
type history []Record

// end returns the mark of the last record.
func (h history) end() Mark {
	if len(h) == 0 {
		return Mark{Position: logStart, Timeline: 1}
	}
	return h[len(h)-1].mark()
}

// after returns the index of the first record that ends above position.
func (h history) after(position proxy.Position) int {
	return sort.Search(len(h), func(i int) bool { return h[i].End > position })
}

// contains reports whether the log has passed through m.
func (h history) contains(m Mark) bool {
	if m.Position == logStart {
		return true
	}
	i := h.after(m.Position)
	return i > 0 && h[i-1].mark() == m
}

// segments returns the log's timelines.
func (h history) segments() []Segment {
	var out []Segment
	for _, r := range h {
		n := len(out)
		if n > 0 && out[n-1].Timeline == r.Timeline && out[n-1].Origin == r.Origin {
			out[n-1].End = r.End
			continue
		}
		out = append(out, Segment{Timeline: r.Timeline, Origin: r.Origin, Start: r.Start, End: r.End})
	}
	return out
}

// fork returns the position up to which two logs are equal.
func fork(a, b []Segment) proxy.Position {
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
