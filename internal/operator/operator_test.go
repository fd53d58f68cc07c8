package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/platform"
	"github.com/auburnyoke/auburnyoke/internal/operator"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// fixture runs commands on a document file and an in-memory platform.
type fixture struct {
	*testing.T
	store  *platform.Memory
	file   string
	client operator.Client
	output bytes.Buffer
	// messages accumulates the messages of all commands.
	messages bytes.Buffer
	sleeps   int
	// onSleep is called whenever a command sleeps.
	onSleep func()
}

func newFixture(t *testing.T) *fixture {
	d := &fixture{T: t, store: platform.NewMemory(), file: filepath.Join(t.TempDir(), "loom.yaml"), onSleep: func() {}}
	text, err := os.ReadFile("../../examples/loom-ledger.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d.write(string(text))
	d.client = operator.Client{
		Output:   &d.output,
		Messages: &d.messages,
		Now:      func() time.Time { return noon },
		Random:   rand.NewChaCha8([32]byte{1}),
		Open:     func(string) (proxy.Store, func(), error) { return d.store, func() {}, nil },
		Sleep: func(ctx context.Context, _ time.Duration) error {
			d.sleeps++
			d.onSleep()
			return ctx.Err()
		},
	}
	return d
}

func (d *fixture) read() string {
	text, err := os.ReadFile(d.file)
	if err != nil {
		d.Fatal(err)
	}
	return string(text)
}

func (d *fixture) write(text string) {
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		d.Fatal(err)
	}
}

// run runs a command, checks its exit code and returns its output.
func (d *fixture) run(code int, args ...string) string {
	d.Helper()
	d.output.Reset()
	all := append([]string{"--platform", "http://127.0.0.1:1", "--author", "selam"}, args...)
	if got := d.client.Run(context.Background(), all); got != code {
		d.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, code, d.output.String(), d.messages.String())
	}
	return d.output.String()
}

// addHost adds a host to the list of live hosts. If e is not nil, it also writes a
// status in which the host reports e's revision.
func (d *fixture) addHost(id proxy.HostID, stage proxy.Stage, e *environment.Envelope) {
	state := proxy.HostState{ID: id, Zone: "gondar", Address: "127.0.0.1:7000", Incarnation: 7}
	listed, err := json.Marshal(state)
	if err != nil {
		d.Fatal(err)
	}
	d.put(proxy.HostPrefix("loom-ledger", stage)+proxy.Key(id), listed)
	if e == nil {
		return
	}
	value, err := environment.EncodeStatus(&environment.HostStatus{
		Host: id, Zone: state.Zone, Address: state.Address, Incarnation: state.Incarnation,
		Revision: e.Revision, Digest: e.Digest, Time: noon,
	})
	if err != nil {
		d.Fatal(err)
	}
	d.put(environment.StatusKey("loom-ledger", stage, id), value)
}

func (d *fixture) put(key proxy.Key, value []byte) {
	object, _ := d.store.Get(context.Background(), key)
	if _, err := d.store.Put(context.Background(), key, value, object.Version); err != nil {
		d.Fatal(err)
	}
}

func (d *fixture) envelope(stage proxy.Stage) *environment.Envelope {
	e, _, err := environment.Load(context.Background(), d.store, "loom-ledger", stage)
	if err != nil || e == nil {
		d.Fatal(e, err)
	}
	return e
}

// Guards against promoting a document without a trial, commands that do not wait for the
// hosts, and wrong exit codes, on which scripts depend.
func TestTryAndPromote(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.addHost("a", proxy.Trial, nil)
	d.run(operator.ExitDone, "check", d.file)
	d.run(operator.ExitFailed, "promote", d.file)
	d.onSleep = func() { d.addHost("a", proxy.Trial, d.envelope(proxy.Trial)) }
	is.Equal(d.run(operator.ExitDone, "try", d.file), "revision 1: in force on 1 of 1 live hosts\n")
	is.Equal(d.sleeps, 1)
	is.True(strings.Contains(d.messages.String(), "waiting for a (no status)"))

	d.addHost("b", proxy.Production, nil)
	d.onSleep = func() {}
	d.run(operator.ExitNotInForce, "promote", d.file, "--wait", "1s")
	is.True(strings.Contains(d.run(operator.ExitNotInForce, "status", "loom-ledger"), "in force on 0 of 1 live hosts; waiting for b (no status)"))
	d.addHost("b", proxy.Production, d.envelope(proxy.Production))
	is.True(strings.Contains(d.run(operator.ExitDone, "status", "loom-ledger"), "in force on 1 of 1 live hosts"))
	d.run(operator.ExitDone, "promote", d.file)
	is.True(strings.Contains(d.messages.String(), "unchanged"))
	is.True(strings.Contains(d.run(operator.ExitDone, "audit", "loom-ledger"), "revision 1, replaces 0"))
	is.Equal(d.run(operator.ExitDone, "diff", d.file), "no difference\n")
}

// Guards against a change that silently overwrites another one that the operator has not
// seen.
func TestConflict(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.run(operator.ExitDone, "try", d.file, "--wait", "0s", "--from", "0")
	d.write(strings.Replace(d.read(), "rate: 60", "rate: 70", 1))
	var failure struct {
		Error    string
		Conflict struct {
			Revision int
			Author   string
			Changes  environment.Changes
		}
	}
	is.NoErr(json.Unmarshal([]byte(d.run(operator.ExitConflict, "--output", "json", "try", d.file, "--from", "0")), &failure))
	is.Equal(failure.Conflict.Revision, 1)
	is.Equal(failure.Conflict.Author, "selam")
	is.Equal(failure.Conflict.Changes.String(), "limit of account clerks-bahir-dar changed: rate 60 -> 70")
	d.run(operator.ExitDone, "try", d.file, "--wait", "0s", "--from", "1")
}

// Guards against keys and verifiers in output, messages and audit records, except for the
// one line that prints a new key, and against created or withdrawn keys that are missing
// in the document.
func TestKeys(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	key := strings.TrimSpace(d.run(operator.ExitDone, "key", "create", d.file, "--account", "reports", "--id", "reports-2"))
	is.True(strings.HasPrefix(key, proxy.KeyPrefix))
	is.True(!strings.Contains(d.read(), key))
	info, err := os.Stat(d.file)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	printed := d.run(operator.ExitDone, "try", d.file, "--wait", "0s")
	d.run(operator.ExitFailed, "key", "create", d.file, "--account", "reports", "--id", "reports-2")
	d.run(operator.ExitDone, "key", "withdraw", d.file, "--id", "reports-2")
	printed += d.run(operator.ExitDone, "diff", d.file, "--stage", "trial")
	printed += d.run(operator.ExitDone, "--output", "json", "try", d.file, "--wait", "0s")
	printed += d.run(operator.ExitDone, "audit", "loom-ledger", "--stage", "trial")
	printed += d.run(operator.ExitDone, "status", "loom-ledger", "--stage", "trial")
	d.write(strings.Replace(d.read(), "verifier: ", "verifier: x", 1))
	d.run(operator.ExitFailed, "check", d.file)
	printed += d.run(operator.ExitFailed, "--output", "json", "check", d.file) + d.messages.String()
	is.True(strings.Contains(printed, "key reports-2 changed: withdrawn false -> true"))
	is.True(!strings.Contains(printed, key))
	is.True(!strings.Contains(printed, "SCRAM-SHA-256$4096"))
	objects, err := d.store.List(context.Background(), environment.AuditPrefix("loom-ledger", proxy.Trial))
	is.NoErr(err)
	is.Equal(len(objects), 2)
	for _, object := range objects {
		is.True(!bytes.Contains(object.Value, []byte("SCRAM")))
	}
}

// Guards against wrong usage that is executed, or that ends with another exit code than
// ExitUsage.
func TestUsage(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	for _, args := range [][]string{
		{},
		{"unknown"},
		{"check"},
		{"check", d.file, "more"},
		{"try", d.file, "--wait", "-1s"},
		{"try", d.file, "--from", "x"},
		{"status", "Loom"},
		{"audit", "loom-ledger", "--limit", "0"},
		{"key", "create", d.file},
		{"--output", "xml", "check", d.file},
		{"--author", "\t", "try", d.file},
		{"--platform", "", "status", "loom-ledger"},
	} {
		d.run(operator.ExitUsage, args...)
	}
	is.True(strings.Contains(d.run(operator.ExitDone, "--help"), "Exit codes:"))
	is.True(strings.Contains(d.run(operator.ExitDone, "try", "--help"), "--from"))
	is.True(strings.Contains(d.run(operator.ExitDone, "completion"), "complete -F _auburnyoke auburnyoke"))
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	is.Equal(d.run(operator.ExitDone, "pro"), "promote\n")
}
