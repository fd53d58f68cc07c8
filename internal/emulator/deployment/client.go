package deployment

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is a client of the line protocol, for tests and checks.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
	next int
}

// Limits of the opening of a session. Clients of the platform wait 2 s for the
// answer to the startup message.
const (
	dialTimeout    = 2 * time.Second
	startupTimeout = 2 * time.Second
)

// Dial connects to a host and sends the startup message. It returns the answer
// beside the client, which is nil where there is none.
func Dial(address, database, key string) (*Client, string, error) {
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, "", fmt.Errorf("connect: %w", err)
	}
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	if err := c.Limit(time.Now().Add(startupTimeout)); err != nil {
		c.Close()
		return nil, "", err
	}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		c.Close()
		return nil, "", fmt.Errorf("send startup: %w", err)
	}
	answer, err := c.Read()
	if err != nil {
		c.Close()
		return nil, "", fmt.Errorf("startup: %w", err)
	}
	if err := c.Limit(time.Time{}); err != nil {
		c.Close()
		return nil, "", err
	}
	return c, answer, nil
}

// Read returns the next line.
func (c *Client) Read() (string, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read line: %w", err)
	}
	return strings.TrimSpace(line), nil
}

// Query sends a statement under an id of its own and returns the lines of the
// answer, joined by bars.
func (c *Client) Query(text string) (string, error) {
	c.next++
	return c.QueryAs(fmt.Sprintf("r%d", c.next), text)
}

// QueryAs is Query with a given id.
func (c *Client) QueryAs(id, text string) (string, error) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", fmt.Errorf("send query: %w", err)
	}
	var lines []string
	for {
		line, err := c.Read()
		if err != nil {
			return "", err
		}
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY") {
			return strings.Join(lines, "|"), nil
		}
	}
}

// Limit makes everything fail that has not ended by an instant.
func (c *Client) Limit(end time.Time) error {
	if err := c.conn.SetDeadline(end); err != nil {
		return fmt.Errorf("limit the connection: %w", err)
	}
	return nil
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }
