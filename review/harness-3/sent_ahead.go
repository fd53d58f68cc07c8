package main

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowd is the number of sessions. A host of the deployment accepts 3,700.
	crowd = 3000
	// crowdTime is how long the crowd sends at most.
	crowdTime = 10 * time.Second
)

// playSentAhead lets a crowd of sessions send short statements ahead, without a pause, while
// they read the answers: three times at one host and three times at another one.
func playSentAhead(i *Installation, trouble bool) (int, error) {
	hosts := i.Hosts[:faultMachines]
	watch := i.watchMemory(hosts)
	for _, h := range hosts {
		for range faultEnds {
			i.press(h, trouble, watch)
			if !h.AwaitReady(10 * time.Second) {
				return 0, fmt.Errorf("%w: %s is not ready again", errNoCase, h.name)
			}
		}
	}
	return watch.faults(hosts), nil
}

// press opens the sessions of the crowd at a host and lets them send until the host's process
// ends or crowdTime has passed. Without trouble, each session sends one statement only.
func (i *Installation) press(h *HostProcess, trouble bool, watch *memoryWatch) {
	before := watch.ended(h)
	statement := []byte("QUERY q1 SET name value\r\n")
	ahead := bytes.Repeat(statement, 2500)
	start := make(chan struct{})
	var opened, failed atomic.Int64
	var sessions, opening sync.WaitGroup
	room := make(chan struct{}, 50)
	clients := make([]*Client, crowd)
	for n := range crowd {
		opening.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			c, err := Connect(i.record, h, "db0-read_your_writes", key(n%len(i.tenants)))
			if err != nil {
				failed.Add(1)
				return
			}
			opened.Add(1)
			clients[n] = c
		})
	}
	opening.Wait()
	i.record.Event("%s: %d sessions opened, %d failed; %d MiB resident", h.name, opened.Load(), failed.Load(), h.resident()>>20)
	for _, c := range clients {
		if c == nil {
			continue
		}
		_ = c.conn.SetDeadline(time.Now().Add(crowdTime))
		sessions.Go(func() { _, _ = io.Copy(io.Discard, c.conn) })
		sessions.Go(func() {
			<-start
			for {
				message := ahead
				if !trouble {
					message = statement
				}
				if _, err := c.conn.Write(message); err != nil || !trouble {
					return
				}
			}
		})
	}
	close(start)
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && watch.ended(h) == before; {
		time.Sleep(50 * time.Millisecond)
		if !trouble && time.Until(end) < crowdTime*3/4 {
			break
		}
	}
	for _, c := range clients {
		if c != nil {
			c.Close()
		}
	}
	sessions.Wait()
}
