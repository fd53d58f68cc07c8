package main

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"time"
)

// cutTime is how long the coordinator is cut off the platform. It is below the longest cut
// of a machine on the users' sheets, 12 s.
const cutTime = 10 * time.Second

// latePromotion cuts a coordinator off the platform while its promote call is on the way,
// until another host has taken the duty over. The rule is broken if the platform sees a
// lower fencing token for a service than it has seen before.
func latePromotion(r *record, trouble bool) (bool, error) {
	var (
		mu     sync.Mutex
		cutOff *host
		stale  time.Time // when a call with a lower token arrived
	)
	newest := make(map[string]uint64)
	calls, held := 0, true
	sent := func(h *host, data []byte) {
		if !bytes.HasPrefix(data, []byte("POST /promote ")) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		r.printf("%s sends POST /promote", h.name)
		if !trouble || cutOff != nil {
			return
		}
		cutOff = h
		h.cut()
		r.printf("%s is cut off the platform, with the call on the way", h.name)
		time.AfterFunc(cutTime, func() {
			r.printf("the cut of %s heals", h.name)
			h.heal()
		})
	}
	called := func(call promoteCall) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		r.printf("the platform receives %s", call)
		if call.token < newest[call.service] {
			held, stale = false, time.Now()
			r.printf("ONE: token %d of %s for %s is lower than %d, which the platform has seen",
				call.token, call.holder, call.service, newest[call.service])
		}
		newest[call.service] = max(newest[call.service], call.token)
	}
	answered := func(call promoteCall, status int) {
		r.printf("the platform answers %d to %s", status, call)
	}
	in := &installation{record: r}
	defer in.stop()
	if err := in.start(options{hosts: 3, cloudSent: sent, promoteCalled: called, promoteAnswered: answered}); err != nil {
		return false, err
	}
	r.printf("3 hosts are ready")
	in.command("drain ledger")
	// The release goes on with the next instance, which is the primary by then.
	time.AfterFunc(releasePause, func() { in.command("drain ledger") })
	time.Sleep(time.Second)
	mu.Lock()
	writer := in.hosts[0]
	if cutOff == writer {
		writer = in.hosts[1]
	}
	mu.Unlock()
	acknowledged := write(r, writer, time.Now().Add(cutTime+5*time.Second))
	mu.Lock()
	defer mu.Unlock()
	if calls == 0 || trouble && cutOff == nil {
		return false, errors.New("no host has called the platform")
	}
	reportLost(r, writer, acknowledged, stale)
	return held, nil
}

// releasePause is the time from one instance that is replaced to the next one.
const releasePause = 9 * time.Second

// acknowledgedWrite is a write that a client got an acknowledgement for.
type acknowledgedWrite struct {
	item, data, signature string
	sent                  time.Time
}

// write writes through a host until an instant, each item once, and returns what was
// acknowledged.
func write(r *record, h *host, end time.Time) []acknowledgedWrite {
	var acknowledged []acknowledgedWrite
	var s *session
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(10 * time.Millisecond)
		if s == nil {
			var err error
			if s, err = open(h.client, "ledger-strict", "key-clerks"); err != nil {
				s = nil
				continue
			}
		}
		w := acknowledgedWrite{item: fmt.Sprintf("item%d", n), data: fmt.Sprintf("data%d", n), sent: time.Now()}
		id := fmt.Sprintf("w%d", n)
		a, err := s.query(id, "WRITE "+w.item+" "+w.data, 3*time.Second)
		switch {
		case err != nil:
			s.close()
			s = nil
		case a.failure != "":
			r.printf("client: %s: ERROR %s", id, a.failure)
		default:
			w.signature = a.signature
			acknowledged = append(acknowledged, w)
			r.printf("client: %s: COMPLETE %s", id, a.signature)
		}
	}
	if s != nil {
		s.close()
	}
	return acknowledged
}

// reportLost reads all acknowledged writes back and records which are gone. It does not
// decide the case.
func reportLost(r *record, h *host, acknowledged []acknowledgedWrite, stale time.Time) {
	s, err := open(h.client, "ledger-strict", "key-clerks")
	if err != nil {
		r.printf("client: read back: %v", err)
		return
	}
	defer s.close()
	lost := 0
	for n, w := range acknowledged {
		a, err := s.query(fmt.Sprintf("b%d", n), "READ "+w.item, 3*time.Second)
		if err != nil || a.failure != "" || len(a.rows) != 1 {
			r.printf("client: read back: %s: %v %s", w.item, err, a.failure)
			return
		}
		if a.rows[0] == w.data {
			continue
		}
		lost++
		after := "before"
		if !stale.IsZero() && w.sent.After(stale) {
			after = "after"
		}
		r.printf("lost: %s, acknowledged with %s, sent %s the stale promote", w.item, w.signature, after)
	}
	r.printf("%d of %d acknowledged writes are lost", lost, len(acknowledged))
}
