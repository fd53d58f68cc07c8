// Package daemon assembles an entry host: it checks the settings, builds the
// client listener, the pool and the decision modules, and executes the effects
// that the modules return.
package daemon

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/conf"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Settings are the settings of one host. docs/settings.md lists each setting with
// its unit, default, range and effect.
type Settings struct {
	Host        proxy.HostID        `json:"host"`
	Zone        proxy.Zone          `json:"zone"`
	Environment proxy.EnvironmentID `json:"environment"`
	Stage       proxy.Stage         `json:"stage,default=production"`
	// Platform is the URL of the platform's object store.
	Platform string `json:"platform"`
	// Listen is the address for clients, Peers for other hosts, Status for the
	// HTTP status listener; each is an IP number and port.
	Listen string `json:"listen"`
	Peers  string `json:"peers"`
	Status string `json:"status"`
	// Seeds are other hosts, through which this host finds its peers when the
	// platform's list of hosts cannot be read.
	Seeds     []SeedSettings    `json:"seeds,optional"`
	Clients   ClientSettings    `json:"clients"`
	Fleet     FleetSettings     `json:"fleet"`
	Instances InstancesSettings `json:"instances"`
	Log       LogSettings       `json:"log"`
	// Memory is the memory of the host in MiB; zero for what the machine has.
	Memory int `json:"memory,optional"`
	// Grace limits the time that a planned stop waits for running requests.
	Grace time.Duration `json:"grace,default=30s"`
}

// SeedSettings describe a host of Settings.Seeds.
type SeedSettings struct {
	Host    proxy.HostID `json:"host"`
	Zone    proxy.Zone   `json:"zone"`
	Address string       `json:"address"`
}

// ClientSettings are the settings of client connections.
type ClientSettings struct {
	// Certificate and Key are PEM files. Without them only open routes can be
	// used, and only if Plain is set.
	Certificate string `json:"certificate,optional"`
	Key         string `json:"key,optional"`
	// Plain allows clients without TLS on open routes.
	Plain bool `json:"plain,optional"`
	// Limit is the largest number of client connections.
	Limit int `json:"limit,default=20000"`
	// Timeout limits the time from connection to the end of authentication.
	Timeout time.Duration `json:"timeout,default=10s"`
}

// FleetSettings are the settings of the mutual TLS between hosts.
type FleetSettings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// InstancesSettings are the settings of connections to instances.
type InstancesSettings struct {
	User string `json:"user"`
	// Password is the name of a file that holds the password.
	Password string `json:"password,optional"`
	// Probe is the time between two measurements of an instance.
	Probe time.Duration `json:"probe,default=100ms"`
	// Idle is the time after which an unused connection is probed before it is
	// acquired.
	Idle time.Duration `json:"idle,default=2s"`
	// Linger is how long a read waits for a replica that is about to catch up,
	// before it is sent to the primary.
	Linger time.Duration `json:"linger,default=100ms"`
	// Silence is the time within which an instance must answer a probe.
	Silence time.Duration `json:"silence,default=500ms"`
}

// LogSettings are the settings of the structured log on standard error.
type LogSettings struct {
	Level string `json:"level,default=info,options=debug|info|warn|error"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, err := ParseSettings(data)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", file, err)
	}
	return settings, nil
}

// ParseSettings decodes settings, fills in defaults and checks every value.
func ParseSettings(data []byte) (Settings, error) {
	if err := checkKeys(data); err != nil {
		return Settings{}, err
	}
	var s Settings
	if err := conf.LoadFromYamlBytes(data, &s); err != nil {
		return Settings{}, fmt.Errorf("decode: %w", err)
	}
	if err := s.Validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// checkKeys reports unknown keys with their line and column, since go-zero's conf
// ignores them.
func checkKeys(data []byte) error {
	var s Settings
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return fmt.Errorf("decode: %s", strings.TrimSpace(yaml.FormatError(err, false, false)))
	}
	return nil
}

// Validate reports every value that is out of its range.
func (s Settings) Validate() error {
	var problems []string
	add := func(err error) {
		if err != nil {
			problems = append(problems, err.Error())
		}
	}
	add(proxy.CheckID("host", string(s.Host)))
	add(proxy.CheckID("zone", string(s.Zone)))
	add(proxy.CheckID("environment", string(s.Environment)))
	add(s.Stage.Validate())
	add(checkURL("platform", s.Platform))
	add(checkAddress("listen", s.Listen))
	add(checkAddress("peers", s.Peers))
	add(checkAddress("status", s.Status))
	for i, seed := range s.Seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		add(proxy.CheckID(key+".host", string(seed.Host)))
		add(proxy.CheckID(key+".zone", string(seed.Zone)))
		add(checkAddress(key+".address", seed.Address))
	}
	add(checkPair(s.Clients))
	add(checkRange("clients.limit", s.Clients.Limit, 1, 1_000_000))
	add(checkRange("clients.timeout", s.Clients.Timeout, 100*time.Millisecond, 5*time.Minute))
	add(checkFile("fleet.certificate", s.Fleet.Certificate))
	add(checkFile("fleet.key", s.Fleet.Key))
	add(checkFile("fleet.authority", s.Fleet.Authority))
	add(checkRange("instances.probe", s.Instances.Probe, 10*time.Millisecond, 10*time.Second))
	add(checkRange("instances.idle", s.Instances.Idle, 10*time.Millisecond, time.Hour))
	add(checkRange("instances.linger", s.Instances.Linger, 0, 10*time.Second))
	add(checkRange("instances.silence", s.Instances.Silence, 10*time.Millisecond, time.Minute))
	if s.Memory != 0 {
		add(checkRange("memory", s.Memory, minMemory, maxMemory))
	}
	add(checkRange("grace", s.Grace, time.Second, time.Hour))
	if s.Instances.User == "" {
		problems = append(problems, "instances.user: must not be empty")
	}
	if s.Instances.Password != "" {
		add(checkFile("instances.password", s.Instances.Password))
	}
	if len(problems) > 0 {
		return eris.New(strings.Join(problems, "\n"))
	}
	return nil
}

func checkURL(key, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return eris.Errorf("%s: %q: want an http or https URL", key, value)
	}
	return nil
}

func checkAddress(key, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return eris.Errorf("%s: %q: want an IP number and a port from 1 to 65535", key, value)
	}
	return nil
}

func checkFile(key, value string) error {
	info, err := os.Stat(value)
	if err != nil {
		return eris.Errorf("%s: %q: want the name of a readable file", key, value)
	}
	if info.IsDir() {
		return eris.Errorf("%s: %q: want a file, not a directory", key, value)
	}
	return nil
}

func checkPair(c ClientSettings) error {
	if c.Certificate == "" && c.Key == "" {
		if !c.Plain {
			return eris.New("clients.certificate: missing; without it clients.plain must be true")
		}
		return nil
	}
	if err := checkFile("clients.certificate", c.Certificate); err != nil {
		return err
	}
	return checkFile("clients.key", c.Key)
}

func checkRange[T int | time.Duration](key string, value, low, high T) error {
	if value < low || value > high {
		return eris.Errorf("%s: %v: want %v to %v", key, value, low, high)
	}
	return nil
}
