package pool

import (
	"fmt"
	"syscall"

	"github.com/rotisserie/eris"
)

// Errors of checkUntouched.
var (
	errClosed      = eris.New("the instance has closed the connection")
	errUnsolicited = eris.New("the instance has sent bytes on an idle connection")
)

// checkUntouched returns an error if the instance has closed an idle connection or has
// sent bytes on it, as it does before it shuts down. It does not block and sends
// nothing.
func (c *connection) checkUntouched() error {
	socket, ok := c.trackedConn.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("inspect the connection: %w", err)
	}
	var found error
	// Unlike Read, Control does not wait for other readers of the connection.
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
