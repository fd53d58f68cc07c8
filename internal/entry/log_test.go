package entry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/entry"
)

// stuck is a reader of logs that has stopped reading.
type stuck chan struct{}

func (s stuck) Write(line []byte) (int, error) {
	<-s
	return len(line), nil
}

// Guards against a host that stands still because nobody reads its log.
func TestOutputNeverBlocks(t *testing.T) {
	is := is.New(t)
	reader := make(stuck)
	output, flush := entry.NewOutput(reader)
	const lines = 10_000
	for range lines {
		n, err := output.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(output.Dropped() > 0)
	is.True(output.Dropped() < lines) // what fits waits for the reader
	close(reader)
	flush()
}
