package entry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/entry"
)

// blockedWriter is a log output that accepts nothing until it is closed.
type blockedWriter chan struct{}

func (s blockedWriter) Write(line []byte) (int, error) {
	<-s
	return len(line), nil
}

// Guards against a host that blocks because nobody reads its log.
func TestOutputNeverBlocks(t *testing.T) {
	is := is.New(t)
	writer := make(blockedWriter)
	output, flush := entry.NewOutput(writer)
	const lines = 10_000
	for range lines {
		n, err := output.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(output.Dropped() > 0)
	is.True(output.Dropped() < lines) // the buffered lines wait for the writer
	close(writer)
	flush()
}
