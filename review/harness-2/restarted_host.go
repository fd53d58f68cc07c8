package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

// primaryCutTime is how long the primary is partitioned. It is the longest such cut on the
// users' sheets.
const primaryCutTime = 7 * time.Second

// restartDelay is the short delay after which the platform restarts a process.
const restartDelay = 100 * time.Millisecond

// restartedHost has three disruptions of the users' sheets meet. The primary is partitioned
// from three of five hosts, so that they have another instance promoted. The store turns
// the first host of the other zone away. The second host of that zone is killed after it
// has accepted the replacement, and started again. The rule is broken if the restarted host
// acknowledges a write that the old primary has committed after the promote.
func restartedHost(r *record, trouble bool) (bool, error) {
	var (
		mu         sync.Mutex
		in         *installation
		cutOff     bool
		killed     bool
		promotedAt time.Time
		primaryAt  string
		primary    *link
	)
	relay, restarted := 0, 1
	o := options{hosts: 5, zones: []string{"gondar", "gondar", "woldia", "woldia", "woldia"}}
	o.storeSent = func(h *host, data []byte) {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || cutOff || !bytes.HasPrefix(data, []byte("PUT /-/objects/groups/ledger ")) {
			return
		}
		cutOff = true
		in.hosts[relay].store.cut()
		r.printf("%s writes the record of the replacement; from now on the store turns %s away (silent)",
			h.name, in.hosts[relay].name)
	}
	o.promoteCalled = func(call promoteCall) {
		r.printf("the platform receives %s", call)
		mu.Lock()
		defer mu.Unlock()
		if killed {
			return
		}
		killed = true
		victim := in.hosts[restarted]
		_ = victim.process.Process.Kill()
		r.printf("%s is killed", victim.name)
		time.AfterFunc(restartDelay, func() {
			r.printf("%s is started again", victim.name)
			if err := in.startHost(victim); err != nil {
				r.printf("%s was not started: %v", victim.name, err)
			}
		})
	}
	o.promoteAnswered = func(call promoteCall, status int) {
		mu.Lock()
		defer mu.Unlock()
		r.printf("the platform answers %d to %s", status, call)
		if status == http.StatusOK && promotedAt.IsZero() {
			promotedAt = time.Now() // the emulated deployment promotes at once
		}
	}
	// The hosts of the other zone reach the primary over a link of their own. Both addresses
	// have the same length.
	o.storeAnswered = func(h *host, data []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		if h.zone != "woldia" || primary == nil {
			return data
		}
		return bytes.ReplaceAll(data, []byte(`"`+primaryAt+`"`), []byte(`"`+primary.address()+`"`))
	}
	o.prepare = func(store string) error {
		address, err := instanceAddress(store, "i-00")
		if err != nil {
			return err
		}
		l, err := newLink(address, linkHooks{})
		if err != nil {
			return err
		}
		if len(l.address()) != len(address) {
			return errors.New("the addresses have different lengths")
		}
		mu.Lock()
		defer mu.Unlock()
		primaryAt, primary = address, l
		return nil
	}
	mu.Lock()
	var err error
	created := &installation{record: r}
	in = created
	mu.Unlock()
	defer created.stop()
	if err = created.start(o); err != nil {
		return false, err
	}
	r.printf("5 hosts are ready")
	if trouble {
		r.printf("the primary i-00 is partitioned from host-3, host-4 and host-5")
		primary.cut()
		time.AfterFunc(primaryCutTime, func() {
			r.printf("the partition of i-00 heals")
			primary.heal()
		})
	}
	end := time.Now().Add(12 * time.Second)
	for _, h := range created.hosts[2:] {
		go readUntil(end, h.client, "ledger-strict")
	}
	var s *session
	held, writes := true, 0
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(10 * time.Millisecond)
		if s == nil {
			if s, err = open(created.hosts[restarted].client, "ledger-strict", "key-clerks"); err != nil {
				s = nil
				continue
			}
			r.printf("client: session with %s", created.hosts[restarted].name)
		}
		id := fmt.Sprintf("w%d", n)
		sent := time.Now()
		a, err := s.query(id, fmt.Sprintf("WRITE item%d data%d", n, n), 3*time.Second)
		if err != nil {
			r.printf("client: %s: %v", id, err)
			s.close()
			s = nil
			continue
		}
		mu.Lock()
		promoted := promotedAt
		mu.Unlock()
		if a.failure != "" {
			r.printf("client: %s: ERROR %s", id, a.failure)
			continue
		}
		writes++
		r.printf("client: %s: COMPLETE %s", id, a.signature)
		if !promoted.IsZero() && sent.After(promoted) && strings.HasPrefix(a.signature, "i-00.") {
			r.printf("ONE: %s was sent %v after the promote had taken effect, committed at the old primary i-00 and acknowledged",
				id, sent.Sub(promoted).Round(time.Millisecond))
			held = false
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if writes == 0 || trouble && (promotedAt.IsZero() || !killed) {
		return false, errors.New("nothing was written or no instance was promoted")
	}
	return held, nil
}

// readUntil is a client that reads until an instant.
func readUntil(end time.Time, address, database string) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(50 * time.Millisecond)
		s, err := open(address, database, "key-clerks")
		if err != nil {
			continue
		}
		for err == nil && time.Now().Before(end) {
			time.Sleep(50 * time.Millisecond)
			_, err = s.query(fmt.Sprintf("r%d", n), "READ item0", 3*time.Second)
		}
		s.close()
	}
}

var entryAddress = regexp.MustCompile(`"address":\s*"([^"]*)"`)

// instanceAddress returns the address of an instance in the store.
func instanceAddress(store, id string) (string, error) {
	response, err := http.Get("http://" + store + "/-/objects/servers/" + id)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	found := entryAddress.FindSubmatch(data)
	if found == nil {
		return "", fmt.Errorf("no address of %s: %s", id, data)
	}
	return string(found[1]), nil
}
