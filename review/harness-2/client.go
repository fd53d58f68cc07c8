package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is a client's connection to a host.
type session struct {
	conn net.Conn
	in   *bufio.Reader
}

// open opens a session and waits until the host has accepted it.
func open(address, database, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp4", address, 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, in: bufio.NewReader(conn)}
	if err := s.send(fmt.Sprintf("STARTUP %s %s", database, key)); err != nil {
		s.close()
		return nil, err
	}
	line, err := s.read(2 * time.Second)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("startup: %s", line)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

func (s *session) send(line string) error {
	_, err := s.conn.Write([]byte(line + "\r\n"))
	return err
}

func (s *session) read(timeout time.Duration) (string, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	line, err := s.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// answer is the answer to one query.
type answer struct {
	rows      []string
	signature string // of a success
	failure   string
	state     string
}

// query sends a query and reads its answer.
func (s *session) query(id, text string, timeout time.Duration) (answer, error) {
	var a answer
	if err := s.send("QUERY " + id + " " + text); err != nil {
		return a, err
	}
	for end := time.Now().Add(timeout); ; {
		line, err := s.read(time.Until(end))
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.failure = rest
		case "READY":
			a.state = rest
			return a, nil
		}
	}
}
