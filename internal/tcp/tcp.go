// Package tcp opens TCP connections that notice when their peer or the path to it is gone.
package tcp

import (
	"context"
	"errors"
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

// DialDiscarding is like Dial, for requests that must not arrive after they were given up.
// Closing the connection, or the end of the process, resets it and discards what was not yet
// delivered. If the process is suspended, the kernel does so soon after it has sent.
func DialDiscarding(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
	conn, err := Dial(ctx, timeout, address)
	if err != nil {
		return nil, err
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		if err := tcpConn.SetLinger(0); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("set linger time: %w", err)
		}
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

// ListenClients is like Listen, for clients that are not trusted: the kernel keeps at most
// about twice bufferSize bytes in each direction for a connection. The user timeout is not
// set, so that a client that doesn't read is left to its caller.
func ListenClients(ctx context.Context, address string, bufferSize int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// The sizes are hints. A kernel that doesn't take them uses its own.
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferSize)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferSize)
		})
	}}
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

// Pending looks at what a connection has received, without waiting. It reports whether
// there are bytes that were not read yet, and whether the connection has ended or has
// such bytes. It removes the read deadline.
func Pending(conn net.Conn) (bytes, changed bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok || conn.SetReadDeadline(time.Time{}) != nil {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		bytes = peekErr == nil && n > 0
		changed = peekErr == nil || !errors.Is(peekErr, unix.EAGAIN) && !errors.Is(peekErr, unix.EINTR)
		return true
	})
	return bytes, changed || err != nil
}
