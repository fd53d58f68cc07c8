package forward

import (
	"fmt"
	"math/bits"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
)

const (
	// firstByteTimeout is the time within which another host must begin its first command on
	// a connection. It opens one when it has a command.
	firstByteTimeout = 2 * time.Second
	// writeTimeout is the time within which another host must accept a part of a reply.
	writeTimeout = 5 * time.Second
	// unusedTimeout is how long a connection may be unused. The other host closes it before.
	unusedTimeout = 2 * checkInterval * maxUnusedChecks
	// memoryTimeout is how long a connection is not read while there is no memory for the
	// command that it carries, memoryPause the pause between two tries. The host is not to
	// appear silent.
	memoryTimeout = silenceTimeout / 2
	memoryPause   = 20 * time.Millisecond
	// maxReused is the size in bytes of the largest command or answer after which a
	// connection is used again: its buffers stay as large.
	maxReused = 16 << 10
	// commandCopies is the number of copies of a command that exist at once: as read, as
	// collected from frames, as decoded, and as encoded for the instance.
	commandCopies = 4
	// progressSize is the number of bytes of a command that count as progress.
	progressSize = 64 << 10
	// unaccountedSize is the size in bytes of commands that are not accounted for, so that
	// they cost no reading of the clock.
	unaccountedSize = 1 << 10
)

var errNoMemory = eris.New("no memory is left for the command")

// listener accepts connections of other hosts and accounts for their memory.
type listener struct {
	net.Listener
	memory *budget.Budget
	clock  proxy.Clock
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(firstByteTimeout)) // an error shows at the first read
	c := &serverConn{Conn: conn, clock: l.clock, limited: true}
	c.holder = l.memory.Join(l.clock.Now(), func() { _ = conn.Close() })
	return c, nil
}

// serverConn is a connection of another host. It accounts for the command that is being
// received or run.
type serverConn struct {
	net.Conn
	clock  proxy.Clock
	holder *budget.Holder
	// limited reports that the first read has a deadline.
	limited bool

	mu sync.Mutex
	// received is the number of bytes of the command, largest that of the largest one so
	// far, progressAt the number that counts as the next progress.
	received, largest, progressAt int64
	// serving reports that a command that is accounted for is being run.
	serving bool
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.limited {
		c.limited = false
		err = c.SetReadDeadline(time.Time{})
	}
	if n > 0 && err == nil && !c.receive(int64(n)) {
		return 0, errNoMemory
	}
	return n, err // the caller tells io.EOF apart
}

// receive accounts for bytes that were read. Without memory for them, it waits for a while,
// in which the other host is not read from.
func (c *serverConn) receive(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += n
	if c.largest = max(c.largest, c.received); c.largest <= unaccountedSize {
		return true
	}
	if c.received >= c.progressAt {
		c.holder.Progress(c.clock.Now())
		c.progressAt = c.received + progressSize
	}
	size := int64(commandCopies) << bits.Len64(uint64(c.largest-1))
	for end := c.clock.Now().Add(memoryTimeout); !c.holder.Resize(c.clock.Now(), size); {
		if c.clock.Now() >= end {
			return false
		}
		time.Sleep(memoryPause)
	}
	return true
}

// begin records that a command was received.
func (c *serverConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.largest > unaccountedSize {
		c.serving = true
		c.holder.SetServing(c.clock.Now(), true)
	}
}

// reserve accounts for an answer beside the command and reports whether there is memory
// for it.
func (c *serverConn) reserve(a *proxy.Answer) bool {
	size := int64(0)
	for _, row := range a.Rows {
		size += int64(len(row))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if size <= unaccountedSize {
		return true
	}
	c.largest += size
	if !c.holder.Resize(c.clock.Now(), commandCopies*c.largest) {
		c.largest -= size
		return false
	}
	return true
}

// complete records that a command is answered. What large commands have left in the buffers
// of the connection stays accounted for.
func (c *serverConn) complete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	accounted := c.largest > unaccountedSize
	c.received, c.progressAt = 0, 0
	if c.largest <= maxReused {
		c.largest = 0
	}
	if !accounted {
		return
	}
	c.holder.Resize(c.clock.Now(), commandCopies*c.largest)
	if c.serving {
		c.serving = false
		c.holder.SetServing(c.clock.Now(), false)
	}
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write: %w", err)
	}
	return n, nil
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.holder.Leave()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}

// sizeOfExecution returns about how large a command is, in bytes.
func sizeOfExecution(e *proxy.Execution) int {
	size := len(e.Command.Statement.Text) + len(e.Command.Statement.ID)
	for name, text := range e.Values {
		size += len(name) + len(text)
	}
	if e.Preparation != nil {
		size += len(e.Preparation.Text)
	}
	return size
}

// sizeOfExecuted returns about how large a result is, in bytes.
func sizeOfExecuted(e *proxy.Executed) int {
	size := 0
	if e.Answer != nil {
		for _, row := range e.Answer.Rows {
			size += len(row)
		}
	}
	return size
}
