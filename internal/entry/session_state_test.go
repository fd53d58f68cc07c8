package entry_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// shapes records the query shapes that instances ran, by request id.
type shapes struct {
	mu  sync.Mutex
	ran map[string][]string
}

func (s *shapes) Ran(run deployment.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ran == nil {
		s.ran = make(map[string][]string)
	}
	s.ran[run.Request] = append(s.ran[run.Request], run.Shape)
}

func (s *shapes) Discarded(string, string) {}

func (s *shapes) of(request string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[request]
}

// Guards against a statement that another session, or the same session under the same
// name, has prepared: the commands that restore a session's state leave together with
// the statement, and an instance may fail them and run the statement all the same.
func TestFailedRestorationRunsNoOtherStatement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 1)
	observed := &shapes{}
	w.Observe(observed)
	first, second := w.session(0, "ledger-strict"), w.session(0, "ledger-strict")
	is.True(strings.HasPrefix(first.query("PARSE s READ q1"), "COMPLETE -"))
	is.True(strings.HasPrefix(first.queryAs("first", "EXECUTE s p"), "DATAROW"))
	is.Equal(observed.of("first"), []string{"q1"})
	w.Groups[0].SetFault(func(_, text string) string {
		if strings.HasPrefix(text, "RESET") || strings.HasPrefix(text, "PARSE") {
			return "BUSY"
		}
		return ""
	})
	for _, c := range []*client{second, first} {
		c.query("CLOSE s")
		is.True(strings.HasPrefix(c.query("PARSE s WRITE q2"), "COMPLETE -"))
		answer := c.queryAs("other", "EXECUTE s p v")
		is.Equal(len(observed.of("other")), 0)
		is.True(strings.HasPrefix(answer, "ERROR BUSY")) // the write has not run
	}
	w.Groups[0].SetFault(nil)
	is.True(strings.HasPrefix(second.queryAs("second", "EXECUTE s p v"), "COMPLETE i-"))
	is.Equal(observed.of("second"), []string{"q2"})
}
