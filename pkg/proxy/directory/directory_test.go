package directory_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// Guards against an entry from before an instance began to leave, or from an earlier process of it,
// that replaces a later one, and against entries of a new process that are passed over.
func TestWrittenAfter(t *testing.T) {
	is := is.New(t)
	entry := directory.Instance{Born: 100, Sequence: 5}
	is.True(entry.WrittenAfter(directory.Instance{Born: 100, Sequence: 4}))
	is.True(!entry.WrittenAfter(entry))
	is.True(entry.WrittenAfter(directory.Instance{Born: 99, Sequence: 9}))
	is.True(!entry.WrittenAfter(directory.Instance{Born: 101, Sequence: 1}))
	is.True(!directory.Instance{Sequence: 5}.WrittenAfter(directory.Instance{Sequence: 4})) // may have restarted
}
