package entry

import (
	"hash/maphash"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Bounds of the log.
const (
	// logBuffer is the number of lines that may wait for the output.
	logBuffer = 512
	// logBudget is the number of lines a second for failed requests.
	logBudget = 50
	// sampleRate is how many successful operations there are for one that is logged.
	sampleRate = 256
)

// Output writes log lines without ever blocking the writer: lines that find the
// buffer full are dropped and counted.
type Output struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewOutput returns an output that writes to w, and a function that writes what
// is waiting, for at most a tenth of a second.
func NewOutput(w io.Writer) (*Output, func()) {
	o := &Output{lines: make(chan []byte, logBuffer), done: make(chan struct{})}
	go o.run(w)
	return o, func() {
		close(o.lines)
		select {
		case <-o.done:
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (o *Output) run(w io.Writer) {
	defer close(o.done)
	for line := range o.lines {
		// There is nowhere to report that the log cannot be written.
		_, _ = w.Write(line)
	}
}

// Write implements io.Writer.
func (o *Output) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case o.lines <- copied:
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (o *Output) Dropped() uint64 { return o.dropped.Load() }

// budget limits the lines about failed requests.
type budget struct {
	second atomic.Int64
	used   atomic.Int64
}

func (b *budget) take(now proxy.Instant) bool {
	second := int64(now) / int64(time.Second)
	if b.second.Swap(second) != second {
		b.used.Store(0)
	}
	return b.used.Add(1) <= logBudget
}

// note counts an answered statement and logs it if it failed or is sampled.
func (h *Host) note(s *session, st proxy.Statement, answer proxy.Answer, arrived proxy.Instant) {
	now := h.Clock.Now()
	h.Metrics.answered(answer, now.Sub(arrived))
	if answer.Failure == nil {
		if st.ID == "" || maphash.String(h.seed, string(st.ID))%sampleRate != 0 {
			return
		}
	} else if !h.budget.take(now) {
		h.Metrics.unlogged.Inc(1)
		return
	}
	c, configured := h.beliefs.current()
	event := s.trace.fields(h.Log.Info()).Str("request", string(st.ID)).Uint64("session", s.id).
		Str("verb", st.Verb.String()).Str("database", s.database).Dur("took", now.Sub(arrived)).
		Dur("proof", now.Sub(configured))
	if c != nil {
		event = event.Uint64("revision", uint64(c.Revision))
	}
	if t := s.transaction; t != nil {
		event = event.Str("operation", string(t.id))
	}
	if answer.Failure != nil {
		event = event.Str("code", answer.Failure.Code.String()).Str("text", answer.Failure.Text).
			Dur("retry", answer.Failure.RetryAfter)
	}
	event.Msg("request answered")
}

// fields adds how a statement was decided.
func (t trace) fields(event *zerolog.Event) *zerolog.Event {
	if t.account != "" {
		event = event.Str("account", string(t.account))
	}
	if t.tries == 0 && t.waited == 0 {
		return event
	}
	event = event.Str("instance", string(t.instance)).Int("tries", t.tries).Dur("waited", t.waited)
	if t.after != nil {
		event = event.Uint64("term", uint64(t.after.Term)).Uint64("after", uint64(t.after.Position))
	}
	return event
}

// noteRetry logs that a statement is sent again, within the budget.
func (h *Host) noteRetry(s *session, t *try, answer proxy.Answer) {
	if !h.budget.take(h.Clock.Now()) {
		h.Metrics.unlogged.Inc(1)
		return
	}
	s.trace.fields(h.Log.Info()).Str("request", string(t.id)).Uint64("session", s.id).
		Str("text", answer.Failure.Text).Bool("primary", t.primary).Msg("statement retried")
}
