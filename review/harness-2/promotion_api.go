package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
)

// promoteCall is a promote call as the platform has received it.
type promoteCall struct {
	holder, service, instance string
	token                     uint64
}

// String returns the call as it appears in records.
func (c promoteCall) String() string {
	return fmt.Sprintf("POST /promote service %s, id %s, Lease-Holder %s, Fencing-Token %d",
		c.service, c.instance, c.holder, c.token)
}

func parsePromotion(r *http.Request) (promoteCall, []byte, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return promoteCall{}, nil, err
	}
	var body struct{ Service, ID string }
	if err := json.Unmarshal(data, &body); err != nil {
		return promoteCall{}, nil, err
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	return promoteCall{r.Header.Get("Lease-Holder"), body.Service, body.ID, token}, data, err
}

// servePromotions serves the platform's API for promotions. It has the emulated deployment
// at target carry each call out. The fence is not checked. Called sees a call before that,
// answered its status. It returns the address.
func servePromotions(target string, called func(promoteCall), answered func(promoteCall, int)) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		call, body, err := parsePromotion(r)
		if err != nil || r.Method != http.MethodPost || r.URL.Path != "/promote" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		called(call)
		request, err := http.NewRequest(http.MethodPost, "http://"+target+"/promote", bytes.NewReader(body))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		request.Header = r.Header.Clone()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = response.Body.Close()
		answered(call, response.StatusCode)
		w.WriteHeader(response.StatusCode)
	}
	// A server without time limits: the pages name none.
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
	return listener.Addr().String(), nil
}
