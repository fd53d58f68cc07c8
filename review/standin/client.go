package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a client's session on a host.
type client struct {
	name   string
	conn   net.Conn
	in     *bufio.Reader
	record *record
	// key and database are those of the session.
	key, database string
	// last is the id of the last request, pending the same while it awaits its answer.
	last, pending string
	sentAt        time.Time
}

var lastRequest atomic.Int64

// connect opens a session. It fails if the answer to STARTUP is not READY.
func connect(r *record, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, in: bufio.NewReader(conn), record: r, key: key, database: database}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := readMessage(c.in)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%s", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

func newID() string { return fmt.Sprintf("%012x", 0x5c0e7a000000+lastRequest.Add(1)) }

// query sends a request and returns the messages of its answer, joined by "|".
func (c *client) query(text string) (string, error) {
	c.last, c.sentAt = newID(), time.Now()
	c.pending = c.last
	c.record.send(c.name, c.pending, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", c.pending, text); err != nil {
		c.record.answer(c.name, c.pending, "connection ended: "+err.Error())
		return "", err
	}
	return c.answer()
}

// answer reads the answer to the pending request.
func (c *client) answer() (string, error) {
	var messages []string
	for {
		line, err := readMessage(c.in)
		if err != nil {
			c.record.answer(c.name, c.pending, strings.Join(append(messages, "connection ended: "+err.Error()), "|"))
			return "", err
		}
		messages = append(messages, line)
		if strings.HasPrefix(line, "READY") {
			answer := strings.Join(messages, "|")
			c.record.answer(c.name, c.pending, answer)
			c.pending = ""
			return answer, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

func succeeded(answer string) bool { return strings.Contains(answer, "COMPLETE ") }
