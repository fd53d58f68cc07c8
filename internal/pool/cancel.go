package pool

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// cancelRequestCode is the code in a CancelRequest, which stands in the position of the
// protocol version of a startup message.
const cancelRequestCode = 80877102

// cancel sends a cancel request for the connection over a separate connection. The
// instance closes that connection without an answer.
func (c *connection) cancel(ctx context.Context) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return fmt.Errorf("connect for cancel: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err = conn.Write(cancelRequest(c.pid, c.secret)); err != nil {
		return fmt.Errorf("send cancel: %w", err)
	}
	if _, err = conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("wait for cancel: %w", err)
	}
	return nil
}

func cancelRequest(pid uint32, secret []byte) []byte {
	request := binary.BigEndian.AppendUint32(nil, uint32(12+len(secret)))
	request = binary.BigEndian.AppendUint32(request, cancelRequestCode)
	request = binary.BigEndian.AppendUint32(request, pid)
	return append(request, secret...)
}
