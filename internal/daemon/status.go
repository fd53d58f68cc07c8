package daemon

import (
	"encoding/json"
	"fmt"
	"html/template"
	"net"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// StatusPage is the state of a host that the status listener returns.
type StatusPage struct {
	Host        proxy.HostID        `json:"host"`
	Zone        proxy.Zone          `json:"zone"`
	Incarnation proxy.Incarnation   `json:"incarnation"`
	Environment proxy.EnvironmentID `json:"environment"`
	Stage       proxy.Stage         `json:"stage"`
	Revision    proxy.Revision      `json:"revision"`
	Ready       bool                `json:"ready"`
	// Reason says why the host is not ready.
	Reason   string        `json:"reason,omitempty"`
	Stopping bool          `json:"stopping"`
	Sessions int           `json:"sessions"`
	Peers    []PeerStatus  `json:"peers"`
	Groups   []GroupStatus `json:"groups"`
}

// PeerStatus is another live host, as known to this host.
type PeerStatus struct {
	Host    proxy.HostID `json:"host"`
	Zone    proxy.Zone   `json:"zone"`
	Address string       `json:"address"`
	Leaving bool         `json:"leaving"`
}

// GroupStatus is the state of a database group, as known to this host.
type GroupStatus struct {
	Group   proxy.GroupID    `json:"group"`
	Term    proxy.Term       `json:"term"`
	Primary proxy.InstanceID `json:"primary"`
	// Local reports that this host is a pool host of the group.
	Local     bool             `json:"local"`
	Instances []InstanceStatus `json:"instances"`
	// Reason says why writes are refused; it is empty if they are not.
	Reason string `json:"reason,omitempty"`
}

// InstanceStatus is an instance's state as this host last measured it.
type InstanceStatus struct {
	Instance proxy.InstanceID `json:"instance"`
	Primary  bool             `json:"primary"`
	Replayed string           `json:"replayed"`
	// Age is the time since the measurement.
	Age  string `json:"age"`
	Busy int    `json:"busy"`
}

var statusTemplate = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Host}}</title>
<h1>{{.Host}} in {{.Zone}}</h1>
<p>{{.Environment}} {{.Stage}}, revision {{.Revision}};
{{if .Ready}}ready{{else}}not ready: {{.Reason}}{{end}}{{if .Stopping}}; stopping{{end}};
{{.Sessions}} sessions</p>
<h2>Groups</h2>
{{range .Groups}}<h3>{{.Group}}: term {{.Term}}, primary {{.Primary}}{{if .Local}}, served here{{end}}</h3>
{{if .Reason}}<p>{{.Reason}}</p>{{end}}
<table><tr><th>instance<th>primary<th>replayed<th>measured<th>busy</tr>
{{range .Instances}}<tr><td>{{.Instance}}<td>{{.Primary}}<td>{{.Replayed}}<td>{{.Age}} ago<td>{{.Busy}}</tr>
{{end}}</table>{{end}}
<h2>Hosts</h2><table><tr><th>host<th>zone<th>address<th>leaving</tr>
{{range .Peers}}<tr><td>{{.Host}}<td>{{.Zone}}<td>{{.Address}}<td>{{.Leaving}}</tr>
{{end}}</table></html>
`))

// statusServer serves liveness, readiness, metrics and the status page.
type statusServer struct {
	page     func() StatusPage
	registry metrics.Registry
}

// newServer returns the HTTP server for an address.
func (s *statusServer) newServer(address string) (*rest.Server, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	server, err := rest.NewServer(rest.RestConf{Host: host, Port: port})
	if err != nil {
		return nil, fmt.Errorf("build status server: %w", err)
	}
	server.AddRoutes(s.routes())
	return server, nil
}

func (s *statusServer) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/live", Handler: s.live},
		{Method: http.MethodGet, Path: "/ready", Handler: s.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.metrics},
		{Method: http.MethodGet, Path: "/status", Handler: s.status},
		{Method: http.MethodGet, Path: "/", Handler: s.html},
	}
}

func (s *statusServer) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, "live")
}

func (s *statusServer) ready(w http.ResponseWriter, _ *http.Request) {
	page := s.page()
	if !page.Ready {
		http.Error(w, page.Reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (s *statusServer) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.registry, w)
}

func (s *statusServer) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.page())
}

func (s *statusServer) html(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_ = statusTemplate.Execute(w, s.page())
}
