package proxy

import (
	"fmt"
	"regexp"
	"strings"
)

// Violation is one rule that a document breaks.
type Violation struct {
	// Path leads to the value from the root of the document, with the yaml
	// names and indices from zero: accounts[0].keys[1].verifier.
	Path string
	// Value is the offending value as it may be shown; see Shown.
	Value string
	// Want tells what is allowed.
	Want string
}

// Error returns the path, the value and what is allowed.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %s: want %s", v.Path, v.Value, v.Want)
}

// Violations are all the rules that a document breaks, in document order as far
// as the rules concern single objects.
type Violations []Violation

// Error returns one line for each violation.
func (v Violations) Error() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = violation.Error()
	}
	return strings.Join(lines, "\n")
}

// KeyPrefix starts every account key that the operators' client creates, so
// that a key pasted into the wrong place is recognised and not shown.
const KeyPrefix = "ayk_"

// maxShown bounds the bytes of a value in an error message.
const maxShown = 80

var secretPattern = regexp.MustCompile(`(?i)(scram-sha-256\$|` + KeyPrefix + `)[^\s"']*`)

// Redact replaces verifiers and account keys in text.
func Redact(text string) string {
	return secretPattern.ReplaceAllString(text, "(not shown)")
}

// Shown quotes value for a message: without verifiers and keys, and shortened.
func Shown(value string) string {
	value = Redact(value)
	if len(value) > maxShown {
		value = strings.ToValidUTF8(value[:maxShown], "") + "..."
	}
	return fmt.Sprintf("%q", value)
}
