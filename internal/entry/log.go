package entry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// logBuffer is the number of lines that may wait for the output.
	logBuffer = 512
	// maxFailureLines limits the log lines per second about failed requests, retries
	// and unreachable instances.
	maxFailureLines = 50
	// successSampling is the number of successful requests of which one is logged.
	successSampling = 256
)

// Output writes log lines without blocking the writer. If the buffer is full, it
// drops lines and counts them.
type Output struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewOutput returns an output that writes to w, and a function that flushes the
// buffered lines and returns after at most 100 ms.
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

// logLimit counts the log lines in the current second against maxFailureLines.
type logLimit struct {
	second  atomic.Int64
	written atomic.Int64
}

func (l *logLimit) allow(now proxy.Instant) bool {
	second := int64(now) / int64(time.Second)
	if l.second.Swap(second) != second {
		l.written.Store(0)
	}
	return l.written.Add(1) <= maxFailureLines
}

// recordAnswer updates the metrics for an answered statement. It logs the statement
// if it failed or is in the sample.
func (h *Host) recordAnswer(s *session, st proxy.Statement, answer proxy.Answer, arrived proxy.Instant) {
	now := h.Clock.Now()
	h.Metrics.countAnswer(answer, now.Sub(arrived))
	if answer.Failure == nil {
		if !sampled(st.ID) {
			return
		}
	} else if !h.logLimit.allow(now) {
		h.Metrics.unlogged.Inc(1)
		return
	}
	c, confirmedAt := h.clusterState.currentConfiguration()
	event := s.trace.fields(h.Log.Info()).Str("request", limited(string(st.ID))).Uint64("session", s.id).
		Str("verb", st.Verb.String()).Str("database", s.database).Dur("took", now.Sub(arrived)).
		Dur("proof", now.Sub(confirmedAt))
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

// sampled reports whether a successful request is logged. All hosts log the same ones, so
// that a request is logged on each host that it passed.
func sampled(id proxy.RequestID) bool {
	return id != "" && xxhash.Sum64String(string(id))%successSampling == 0
}

// recordServed updates the metrics for a command of another host. It logs the command if
// it failed or is in the sample.
func (h *Host) recordServed(e proxy.Execution, result proxy.Executed, arrived proxy.Instant) {
	h.Metrics.commandsServed.Inc(1)
	now := h.Clock.Now()
	failed := result.Answer == nil || result.Answer.Failure != nil
	switch {
	case !failed && !sampled(e.Command.Statement.ID):
		return
	case failed && !h.logLimit.allow(now):
		h.Metrics.unlogged.Inc(1)
		return
	}
	event := h.Log.Info().Str("request", limited(string(e.Command.Statement.ID))).Str("verb", e.Command.Statement.Verb.String()).
		Str("instance", string(e.Instance)).Str("account", string(e.Account)).Dur("took", now.Sub(arrived)).Dur("waited", result.Waited).
		Int("queue", result.Load.Waiting)
	switch {
	case result.Refusal != nil:
		event = event.Str("cause", result.Refusal.Cause.String()).Str("text", result.Refusal.Failure.Text)
	case result.Unknown != "":
		event = event.Str("unknown", result.Unknown)
	case result.Answer.Failure != nil:
		event = event.Str("code", result.Answer.Failure.Code.String())
	}
	event.Msg("command run for another host")
}

// loggedTokenWait is the shortest wait for a token that a log line mentions.
const loggedTokenWait = time.Millisecond

// fields adds to a log line how the statement was processed.
func (t trace) fields(event *zerolog.Event) *zerolog.Event {
	if t.account != "" {
		event = event.Str("account", string(t.account))
	}
	if t.refused != 0 {
		event = event.Str("allowance", t.refused.String())
	}
	if t.tokenWait >= loggedTokenWait {
		event = event.Dur("token", t.tokenWait)
	}
	if t.tries == 0 && t.waited == 0 {
		return event
	}
	event = event.Str("instance", string(t.instance)).Str("via", string(t.via)).Int("tries", t.tries).Dur("waited", t.waited)
	if t.after != nil {
		event = event.Uint64("term", uint64(t.after.Term)).Uint64("after", uint64(t.after.Position))
	}
	return event
}

// logRetry logs that a statement is sent again, within the limit of lines.
func (h *Host) logRetry(s *session, t *singleStatement, answer proxy.Answer) {
	if !h.logLimit.allow(h.Clock.Now()) {
		h.Metrics.unlogged.Inc(1)
		return
	}
	s.trace.fields(h.Log.Info()).Str("request", string(t.id)).Uint64("session", s.id).
		Str("text", answer.Failure.Text).Bool("primary", t.primary).Msg("statement retried")
}
