package proxy

import (
	"fmt"
	"regexp"
	"strings"
)

// Violation is one rule that a document breaks.
type Violation struct {
	// Path is the path of the value from the root of the document, with YAML names
	// and indices from zero: accounts[0].keys[1].verifier.
	Path string
	// Value is the offending value without secrets; see QuoteRedacted.
	Value string
	// Want describes the allowed values.
	Want string
}

// Error returns the path, the value and what is allowed.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %s: want %s", v.Path, v.Value, v.Want)
}

// Violations are all the rules that a document breaks. Violations of rules about
// single objects are in document order.
type Violations []Violation

// Error returns one line for each violation.
func (v Violations) Error() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = violation.Error()
	}
	return strings.Join(lines, "\n")
}

// KeyPrefix is the prefix of every account key that the operators' command-line
// client creates. Redact recognises keys by it if they are pasted in a wrong place.
const KeyPrefix = "ayk_"

// maxShown is the maximum length of a value in an error message, in bytes.
const maxShown = 80

var secretPattern = regexp.MustCompile(`(?i)(scram-sha-256\$|` + KeyPrefix + `)[^\s"']*`)

// Redact replaces verifiers and account keys in text.
func Redact(text string) string {
	return secretPattern.ReplaceAllString(text, "(not shown)")
}

// QuoteRedacted quotes value for a message, without verifiers and keys and shortened
// to a maximum length.
func QuoteRedacted(value string) string {
	value = Redact(value)
	if len(value) > maxShown {
		value = strings.ToValidUTF8(value[:maxShown], "") + "..."
	}
	return fmt.Sprintf("%q", value)
}
