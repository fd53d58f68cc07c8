// Package tcp opens TCP connections that notice when their peer or the path to it is gone.
package tcp

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// KeepAlive is the interval of TCP keep-alive probes, which detect idle connections
	// whose peer is gone.
	KeepAlive = 2 * time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection ends.
	keepAliveProbes = 2
	// userTimeout is how long sent bytes may remain unacknowledged before the kernel
	// closes the connection. It allows for several retransmissions over a path of
	// 9 ms.
	userTimeout = 700 * time.Millisecond
)

// Dial opens a connection to address, host:port, over IPv4.
func Dial(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: KeepAlive, Control: control}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// Listen listens on address, host:port, over IPv4.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control: control,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: KeepAlive, Interval: KeepAlive, Count: keepAliveProbes,
		},
	}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// control sets the user timeout on a socket. Accepted connections inherit it.
func control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return fmt.Errorf("set TCP user timeout: %w", err)
	}
	return nil
}
