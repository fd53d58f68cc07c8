package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cutTime is how long the coordinator is cut off the platform. It is below the longest cut
// of a machine on the users' sheets, 12 s.
const cutTime = 10 * time.Second

// promoteCall is a promote call as the platform has received it.
type promoteCall struct {
	holder, service, instance string
	token                     uint64
}

func parsePromotion(data []byte) (promoteCall, bool) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil || request.Method != http.MethodPost || request.URL.Path != "/promote" {
		return promoteCall{}, false
	}
	var body struct{ Service, ID string }
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		return promoteCall{}, false
	}
	token, err := strconv.ParseUint(request.Header.Get("Fencing-Token"), 10, 64)
	return promoteCall{request.Header.Get("Lease-Holder"), body.Service, body.ID, token}, err == nil
}

// latePromotion cuts a coordinator off the platform while its promote call is on the way,
// until another host has taken the duty over. The rule is broken if the platform sees a
// lower fencing token for a service than it has seen before.
func latePromotion(r *record, trouble bool) (bool, error) {
	var mu sync.Mutex
	cutOff := false
	newest := make(map[string]uint64)
	calls, held := 0, true
	inspect := func(h *host, data []byte) {
		call, ok := parsePromotion(data)
		if !ok {
			return
		}
		r.printf("%s has sent: POST /promote service %s, id %s, Lease-Holder %s, Fencing-Token %d",
			h.name, call.service, call.instance, call.holder, call.token)
		mu.Lock()
		defer mu.Unlock()
		if !trouble || cutOff {
			return
		}
		cutOff = true
		h.cut()
		r.printf("%s is cut off the platform, with the call on the way", h.name)
		time.AfterFunc(cutTime, func() {
			r.printf("the cut of %s heals", h.name)
			h.heal()
		})
	}
	delivered := func(h *host, data []byte) {
		call, ok := parsePromotion(data)
		if !ok {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		calls++
		r.printf("the platform receives from %s: POST /promote service %s, id %s, Lease-Holder %s, Fencing-Token %d",
			h.name, call.service, call.instance, call.holder, call.token)
		if call.token < newest[call.service] {
			held = false
			r.printf("ONE: token %d of %s for %s is lower than %d, which the platform has seen",
				call.token, call.holder, call.service, newest[call.service])
		}
		newest[call.service] = max(newest[call.service], call.token)
	}
	in := &installation{record: r}
	defer in.stop()
	if err := in.start(options{hosts: 3, cloudSent: inspect, cloudDelivered: delivered}); err != nil {
		return false, err
	}
	r.printf("3 hosts are ready")
	in.command("drain ledger")
	time.Sleep(cutTime + 6*time.Second)
	mu.Lock()
	defer mu.Unlock()
	if calls == 0 || trouble && !cutOff {
		return false, errors.New("no host has called the platform")
	}
	return held, nil
}
