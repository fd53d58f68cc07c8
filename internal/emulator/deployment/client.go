package deployment

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is a client of the line protocol, for tests, the soak and the demo.
type Client struct {
	conn   net.Conn
	in     *bufio.Reader
	lastID int
}

// Timeouts for opening a session. The platform's own clients wait 2 s for the answer
// to the startup message.
const (
	dialTimeout    = 2 * time.Second
	startupTimeout = 2 * time.Second
)

// Dial connects to a host, sends the startup message and returns the client and the
// answer. The answer may be an ERROR line. The client is nil if err is not nil.
func Dial(address, database, key string) (*Client, string, error) {
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, "", fmt.Errorf("connect: %w", err)
	}
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	if err := c.SetIODeadline(time.Now().Add(startupTimeout)); err != nil {
		c.Close()
		return nil, "", err
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		c.Close()
		return nil, "", fmt.Errorf("send startup: %w", err)
	}
	answer, err := c.ReadLine()
	if err != nil {
		c.Close()
		return nil, "", fmt.Errorf("startup: %w", err)
	}
	if err := c.SetIODeadline(time.Time{}); err != nil {
		c.Close()
		return nil, "", err
	}
	return c, answer, nil
}

// ReadLine returns the next line.
func (c *Client) ReadLine() (string, error) {
	line, err := readMessage(c.in)
	if err != nil {
		return "", fmt.Errorf("read line: %w", err)
	}
	return line, nil
}

// Query sends a statement with a new request id and returns the lines of the answer,
// joined by "|".
func (c *Client) Query(text string) (string, error) {
	c.lastID++
	return c.QueryWithID(fmt.Sprintf("r%d", c.lastID), text)
}

// QueryWithID is like Query, but with the given request id.
func (c *Client) QueryWithID(id, text string) (string, error) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", fmt.Errorf("send query: %w", err)
	}
	var lines []string
	for {
		line, err := c.ReadLine()
		if err != nil {
			return "", err
		}
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY") {
			return strings.Join(lines, "|"), nil
		}
	}
}

// SetIODeadline sets the time at which pending and later reads and writes fail. The
// zero time means no deadline.
func (c *Client) SetIODeadline(end time.Time) error {
	if err := c.conn.SetDeadline(end); err != nil {
		return fmt.Errorf("set deadline of the connection: %w", err)
	}
	return nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }
