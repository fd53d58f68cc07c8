// Command entry checks a running installation on the emulated deployment as a
// client would: statements, a transaction, own reads on another host, and an
// unknown key.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// patience is how long the checks wait for the hosts to serve.
const patience = time.Minute

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: entry ADDRESS OTHER-ADDRESS")
		os.Exit(2)
	}
	if err := check(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "failed:", err)
		os.Exit(1)
	}
	fmt.Println("all checks of the entry hosts passed")
}

func check(first, second string) error {
	for _, address := range []string{first, second} {
		if err := await(address); err != nil {
			return err
		}
	}
	writer, err := open(first, "ledger-strict", "key-clerks")
	if err != nil {
		return err
	}
	reader, err := open(second, "ledger-strict", "key-clerks")
	if err != nil {
		return err
	}
	steps := []struct {
		session    *session
		text, want string
	}{
		{writer, "WRITE rug-1 ordered", "COMPLETE i-"},
		{reader, "READ rug-1", "DATAROW ordered|COMPLETE i-"},
		{writer, "BEGIN", "COMPLETE -|READY T"},
		{writer, "WRITE rug-1 paid", "COMPLETE i-"},
		{reader, "READ rug-1", "DATAROW ordered|"},
		{writer, "COMMIT", "COMPLETE i-"},
		{reader, "READ rug-1", "DATAROW paid|"},
		{reader, "PARSE p READ q1", "COMPLETE -"},
		{reader, "EXECUTE p rug-1", "DATAROW paid|"},
		{reader, "NONSENSE", "ERROR MALFORMED"},
	}
	for _, step := range steps {
		if got := step.session.query(step.text); !strings.HasPrefix(got, step.want) {
			return fmt.Errorf("%s: got %q, want %q", step.text, got, step.want)
		}
	}
	if _, err := open(first, "ledger-strict", "no-key"); err == nil || !strings.Contains(err.Error(), "AUTHFAIL") {
		return fmt.Errorf("unknown key: %w", err)
	}
	return nil
}

// await waits until a host serves.
func await(address string) error {
	last := "nothing"
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s, err := open(address, "ledger-strict", "key-clerks")
		if err != nil {
			last = err.Error()
			continue
		}
		last = s.query("READ rug-0")
		_ = s.conn.Close()
		if strings.HasPrefix(last, "DATAROW") {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve: %s", address, last)
}

type session struct {
	conn net.Conn
	in   *bufio.Reader
	next int
}

func open(address, database, key string) (*session, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	s := &session{conn: conn, in: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		return nil, fmt.Errorf("startup: %w", err)
	}
	line, err := s.in.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("startup: %w", err)
	}
	if !strings.HasPrefix(line, "READY") {
		return nil, fmt.Errorf("startup: %s", strings.TrimSpace(line))
	}
	return s, nil
}

// query returns the lines of the answer, joined by bars.
func (s *session) query(text string) string {
	s.next++
	if _, err := fmt.Fprintf(s.conn, "QUERY demo-%d %s\r\n", s.next, text); err != nil {
		return err.Error()
	}
	var lines []string
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return err.Error()
		}
		lines = append(lines, strings.TrimSpace(line))
		if strings.HasPrefix(line, "READY") {
			return strings.Join(lines, "|")
		}
	}
}
