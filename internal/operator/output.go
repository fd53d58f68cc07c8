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

// printResult prints a result: text, or value as JSON if JSON output is chosen.
func (inv *invocation) printResult(text string, value any) error {
	if inv.options.Output != "json" {
		_, err := fmt.Fprintln(inv.Output, strings.TrimRight(text, "\n"))
		return wrapPrintError(err)
	}
	encoder := json.NewEncoder(inv.Output)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return wrapPrintError(encoder.Encode(value))
}

func wrapPrintError(err error) error {
	if err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// errorResult is the JSON form of an error.
type errorResult struct {
	Error    string               `json:"error"`
	Problems environment.Problems `json:"problems,omitempty"`
	Conflict *conflictResult      `json:"conflict,omitempty"`
}

// conflictResult describes the change that came first. It omits that change's document,
// which contains verifiers.
type conflictResult struct {
	Revision proxy.Revision      `json:"revision"`
	Digest   environment.Digest  `json:"digest"`
	Author   string              `json:"author"`
	Time     time.Time           `json:"time"`
	Changes  environment.Changes `json:"changes"`
}

// printError prints an error. It redacts keys and verifiers, which errors of other
// packages might contain.
func (inv *invocation) printError(err error) {
	text := proxy.Redact(err.Error())
	if inv.options.Output != "json" {
		fmt.Fprintln(inv.Messages, "auburnyoke:", text)
		return
	}
	f := errorResult{Error: text}
	errors.As(err, &f.Problems)
	var c *environment.ConflictError
	if errors.As(err, &c) {
		f.Conflict = &conflictResult{
			Revision: c.Current.Revision,
			Digest:   c.Current.Digest,
			Author:   c.Current.Author,
			Time:     c.Current.Time,
			Changes:  c.Changes,
		}
	}
	_ = inv.printResult(text, f)
}
