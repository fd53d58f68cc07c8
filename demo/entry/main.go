// Command entry checks a running installation on the emulated deployment from the
// clients' side: statements, a transaction, reads of a session's own writes through
// another host, and an unknown key.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// waitTimeout limits the wait for a host to serve requests.
const waitTimeout = time.Minute

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
		if err := awaitServing(address); err != nil {
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
		session    *deployment.Client
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
		got, err := step.session.Query(step.text)
		if err != nil {
			return fmt.Errorf("%s: %w", step.text, err)
		}
		if !strings.HasPrefix(got, step.want) {
			return fmt.Errorf("%s: got %q, want %q", step.text, got, step.want)
		}
	}
	if _, err := open(first, "ledger-strict", "no-key"); err == nil || !strings.Contains(err.Error(), "AUTHFAIL") {
		return fmt.Errorf("unknown key: %w", err)
	}
	return nil
}

// minServedReads is the number of consecutive reads after which a host's token buckets,
// which are empty at its start, count as filled. The checks need fewer operations.
const minServedReads = 50

// awaitServing waits until a host serves minServedReads consecutive reads.
func awaitServing(address string) error {
	lastAnswer := "nothing"
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s, err := open(address, "ledger-strict", "key-clerks")
		if err != nil {
			lastAnswer = err.Error()
			continue
		}
		served := 0
		for served < minServedReads {
			if lastAnswer, err = s.Query("READ rug-0"); err != nil || !strings.HasPrefix(lastAnswer, "DATAROW") {
				break
			}
			served++
		}
		s.Close()
		if err != nil {
			lastAnswer = err.Error()
		}
		if served == minServedReads {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve: %s", address, lastAnswer)
}

// open starts a session and checks that the host accepts it.
func open(address, database, key string) (*deployment.Client, error) {
	c, greeting, err := deployment.Dial(address, database, key)
	if err != nil {
		return nil, fmt.Errorf("open session: %w", err)
	}
	if !strings.HasPrefix(greeting, "READY") {
		c.Close()
		return nil, fmt.Errorf("startup: %s", greeting)
	}
	return c, nil
}
