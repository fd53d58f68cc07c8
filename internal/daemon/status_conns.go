package daemon

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of the status listener.
const (
	maxStatusConns      = 64
	maxStatusHeader     = 16 << 10 // bytes
	statusHeaderTimeout = 2 * time.Second
	statusIdleTimeout   = 30 * time.Second
)

// limitStatus limits the connections and headers of the status listener.
func limitStatus(server *http.Server) {
	conns := statusConns{elements: make(map[net.Conn]*list.Element)}
	server.MaxHeaderBytes = maxStatusHeader
	server.ReadHeaderTimeout = statusHeaderTimeout
	server.IdleTimeout = statusIdleTimeout
	server.ConnState = conns.track
}

// statusConns closes the connection whose state has not changed for longest when there are
// more than maxStatusConns.
type statusConns struct {
	mu       sync.Mutex
	byAge    list.List // of net.Conn, latest change last
	elements map[net.Conn]*list.Element
}

func (s *statusConns) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element := s.elements[conn]; element != nil {
		s.byAge.Remove(element)
		delete(s.elements, conn)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		return
	}
	s.elements[conn] = s.byAge.PushBack(conn)
	if s.byAge.Len() > maxStatusConns {
		oldest := s.byAge.Remove(s.byAge.Front()).(net.Conn)
		delete(s.elements, oldest)
		_ = oldest.Close()
	}
}
