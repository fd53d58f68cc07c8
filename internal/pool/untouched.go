package pool

import (
	"fmt"
	"syscall"

	"github.com/rotisserie/eris"
)

// Errors of an idle connection.
var (
	errClosed      = eris.New("the instance has closed the connection")
	errUnsolicited = eris.New("the instance has sent bytes on an idle connection")
)

// untouched returns an error if the instance has closed the idle connection or
// has sent something on it, which it does before it shuts down. It does not
// block and sends nothing.
func (c *connection) untouched() error {
	socket, ok := c.wire.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("inspect the connection: %w", err)
	}
	var found error
	// Control, unlike Read, does not wait for a reader of the connection.
	err = raw.Control(func(fd uintptr) { found = peek(int(fd)) })
	if err != nil {
		return fmt.Errorf("inspect the connection: %w", err)
	}
	return found
}

func peek(fd int) error {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		return errUnsolicited
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return nil
	case err != nil:
		return fmt.Errorf("inspect the connection: %w", err)
	default:
		return errClosed
	}
}
