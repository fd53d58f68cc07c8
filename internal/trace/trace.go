// Package trace reconstructs the events of a request from the logs of the hosts,
// together with changes in the hosts' known state around that time.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ContextWindow is the time before and after a request from which Reconstruct includes
// log lines that belong to no request.
const ContextWindow = 5 * time.Second

// maxLineSize is the maximum length of a log line, in bytes.
const maxLineSize = 1 << 20

// Line is a parsed log line.
type Line struct {
	// Time is the time of the line, in Unix milliseconds.
	Time    int64
	Host    string
	Message string
	// Fields holds all fields but time, host, message and level.
	Fields map[string]any
}

// Read parses the JSON lines of a log. It skips other lines, and text before the first
// brace of a line, such as the prefix of a log collector.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineSize)
	var lines []Line
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
			continue
		}
		line := Line{Fields: fields}
		if ms, ok := fields["time"].(float64); ok {
			line.Time = int64(ms)
		}
		line.Host, _ = fields["host"].(string)
		line.Message, _ = fields["message"].(string)
		for _, name := range []string{"time", "host", "message", "level"} {
			delete(fields, name)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// Reconstruct returns the lines of a request and, within ContextWindow around them, the
// lines that belong to no request, except refused sessions, ordered by time. It returns
// nil if no line names the request.
func Reconstruct(lines []Line, request string) []Line {
	first, last := int64(-1), int64(-1)
	for _, line := range lines {
		if line.Fields["request"] != request {
			continue
		}
		if first < 0 || line.Time < first {
			first = line.Time
		}
		last = max(last, line.Time)
	}
	if first < 0 {
		return nil
	}
	var selected []Line
	for _, line := range lines {
		inWindow := line.Time >= first-ContextWindow.Milliseconds() && line.Time <= last+ContextWindow.Milliseconds()
		id, hasRequest := line.Fields["request"]
		if id == request || !hasRequest && inWindow && line.Message != "session refused" {
			selected = append(selected, line)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return int(max(-1, min(1, a.Time-b.Time))) })
	return selected
}

// String formats a line for display.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-24s %s", time.UnixMilli(l.Time).UTC().Format("15:04:05.000"), l.Host, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
