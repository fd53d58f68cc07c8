package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Exchange is a statement of a client and its answer.
type Exchange struct {
	id, host, key, text string
	sent, answered      time.Time
	answer              string
	// ok reports a success with an instance's signature.
	ok  bool
	err error
}

// Client is a client's session at a host.
type Client struct {
	host, key string
	record    *Record
	conn      net.Conn
	in        *bufio.Reader
}

var lastRequest atomic.Int64

// Connect opens a session.
func Connect(record *Record, host *HostProcess, database, key string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", host.frontend, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{host: host.name, key: key, record: record, conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		_ = conn.Close()
		return nil, err
	}
	line, err := readMessage(c.in)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("session refused: %s", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// Query sends a statement and waits for its answer.
func (c *Client) Query(text string) Exchange {
	e := Exchange{id: fmt.Sprintf("q%06d", lastRequest.Add(1)), host: c.host, key: c.key, text: text, sent: time.Now()}
	_ = c.conn.SetDeadline(e.sent.Add(4 * time.Second))
	_, e.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", e.id, text)
	var parts []string
	for e.err == nil {
		var line string
		if line, e.err = readMessage(c.in); e.err != nil {
			break
		}
		if strings.HasPrefix(line, "READY") {
			break
		}
		parts = append(parts, line)
		e.ok = e.ok || strings.HasPrefix(line, "COMPLETE ")
	}
	e.answered = time.Now()
	e.answer = strings.Join(parts, " | ")
	if e.err != nil {
		e.ok = false
		e.answer += " (" + e.err.Error() + ")"
	}
	c.record.Exchange(e)
	return e
}

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }
