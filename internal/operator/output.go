package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// show prints a result: text for people, or value as JSON.
func (s *session) show(text string, value any) error {
	if s.options.Output != "json" {
		_, err := fmt.Fprintln(s.Output, strings.TrimRight(text, "\n"))
		return wrapOutput(err)
	}
	encoder := json.NewEncoder(s.Output)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return wrapOutput(encoder.Encode(value))
}

func wrapOutput(err error) error {
	if err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// failure is an error in JSON.
type failure struct {
	Error    string               `json:"error"`
	Problems environment.Problems `json:"problems,omitempty"`
	Conflict *conflict            `json:"conflict,omitempty"`
}

// conflict describes the change that came first, without its text.
type conflict struct {
	Revision proxy.Revision      `json:"revision"`
	Digest   environment.Digest  `json:"digest"`
	Author   string              `json:"author"`
	Time     time.Time           `json:"time"`
	Changes  environment.Changes `json:"changes"`
}

// report prints an error. Redaction guards against keys and verifiers in the
// errors of others.
func (s *session) report(err error) {
	text := proxy.Redact(err.Error())
	if s.options.Output != "json" {
		fmt.Fprintln(s.Messages, "auburnyoke:", text)
		return
	}
	f := failure{Error: text}
	errors.As(err, &f.Problems)
	var c *environment.ConflictError
	if errors.As(err, &c) {
		f.Conflict = &conflict{
			Revision: c.Current.Revision,
			Digest:   c.Current.Digest,
			Author:   c.Current.Author,
			Time:     c.Current.Time,
			Changes:  c.Changes,
		}
	}
	_ = s.show(text, f)
}
