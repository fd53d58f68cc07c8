// Package story tells from the hosts' logs what happened to one request and what
// the hosts came to believe around it.
package story

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

// Window is how long before and after a request changes of belief are told.
const Window = 5 * time.Second

// Limits of the input.
const maxLine = 1 << 20

// Line is a log line.
type Line struct {
	// Time is in Unix milliseconds.
	Time    int64
	Host    string
	Message string
	Fields  map[string]any
}

// Read returns the lines of a log in JSON. Other text, such as a prefix that a
// log collector adds, is passed over.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLine)
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

// Tell returns the lines about a request and, of the same time, those that are
// about no request, in the order of their times. It returns nothing where no
// line names the request.
func Tell(lines []Line, request string) []Line {
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
	var told []Line
	for _, line := range lines {
		near := line.Time >= first-Window.Milliseconds() && line.Time <= last+Window.Milliseconds()
		id, about := line.Fields["request"]
		if id == request || !about && near && line.Message != "session refused" {
			told = append(told, line)
		}
	}
	slices.SortStableFunc(told, func(a, b Line) int { return int(max(-1, min(1, a.Time-b.Time))) })
	return told
}

// String formats a line for reading.
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
