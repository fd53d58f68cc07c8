package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// idSize is the length of the ids of the messages, which stay below 1 MiB.
	idSize = 1_000_000
	// definitions is the number of values that a session sets.
	definitions = 600
)

// playLongIDs opens one session on each of two hosts, again and again, that sets several hundred
// short values with messages of almost 1 MiB, whose ids are long, and reads every answer.
func playLongIDs(i *Installation, trouble bool) (int, error) {
	size := 16
	if trouble {
		size = idSize
	}
	hosts := i.Hosts[:faultMachines]
	watch := i.watchMemory(hosts)
	var clients sync.WaitGroup
	for _, h := range hosts {
		clients.Go(func() {
			for range faultEnds + 1 {
				set, err := i.setValues(h, size)
				i.record.Event("%s: a session has set %d values, then: %v", h.name, set, err)
				if err != nil {
					time.Sleep(2 * time.Second)
					h.AwaitReady(10 * time.Second)
				}
			}
		})
	}
	clients.Wait()
	return watch.faults(hosts), nil
}

// setValues opens a session and sets values in it, with ids of the given size. It returns the
// number of values that were set.
func (i *Installation) setValues(h *HostProcess, size int) (int, error) {
	c, err := Connect(i.record, h, "db0-read_your_writes", key(1))
	if err != nil {
		return 0, err
	}
	defer c.Close()
	padding := strings.Repeat("x", size-12)
	for n := range definitions {
		_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := fmt.Fprintf(c.conn, "QUERY %s%012d SET name-%d value\r\n", padding, n, n); err != nil {
			return n, err
		}
		line, err := readMessage(c.in)
		if err == nil {
			_, err = readMessage(c.in)
		}
		if err != nil {
			return n, err
		}
		if !strings.HasPrefix(line, "COMPLETE") {
			return n, fmt.Errorf("answer: %s", line)
		}
	}
	return definitions, nil
}
