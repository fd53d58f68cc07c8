package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/trace"
)

const log = `a prefix {"level":"info","host":"h1","group":"g","time":1000000,"message":"leadership changed"}
not a log line
{"level":"info","host":"h2","request":"r1","code":"in-doubt","time":1001000,"message":"request answered"}
{"level":"warn","host":"h2","request":"r1","group":"g","time":1000900,"message":"write not acknowledged"}
{"level":"info","host":"h2","request":"r2","code":"busy","time":1001000,"message":"request answered"}
{"level":"info","host":"h1","time":1009000,"message":"hosts changed"}
`

// Guards against traces that miss a line of the request, or that include lines of other
// requests.
func TestReconstruct(t *testing.T) {
	is := is.New(t)
	lines, err := trace.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(lines), 5)
	var messages []string
	for _, line := range trace.Reconstruct(lines, "r1") {
		messages = append(messages, line.Message)
	}
	is.Equal(messages, []string{"leadership changed", "write not acknowledged", "request answered"})
	is.Equal(len(trace.Reconstruct(lines, "unknown")), 0)
	is.True(strings.Contains(trace.Reconstruct(lines, "r1")[2].String(), "code=in-doubt"))
}
