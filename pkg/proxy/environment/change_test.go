package environment_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

func smallDocument(rate int) string {
	return fmt.Sprintf("environment: demo\naccounts:\n  - {id: a, rate: %d, burst: 1}\n", rate)
}

func newProposal(text string, n byte) environment.Proposal {
	return environment.Proposal{
		Text:   []byte(text),
		Author: fmt.Sprintf("author-%d", n),
		Time:   noon,
		Nonce:  environment.NewNonce([environment.NonceSize]byte{n}),
	}
}

// Guards against promoting a document that was not tried, against silently overwriting
// another operator's change, and against missing or wrong diffs in conflicts.
func TestTryAndPromote(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newMemory()
	_, err := environment.Promote(ctx, store, newProposal(smallDocument(1), 1))
	var notTried *environment.NotTriedError
	is.True(errors.As(err, &notTried))

	tried, err := environment.Try(ctx, store, newProposal(smallDocument(1), 2))
	is.NoErr(err)
	is.Equal(tried.Envelope.Revision, proxy.Revision(1))
	promoted, err := environment.Promote(ctx, store, newProposal(smallDocument(1), 3))
	is.NoErr(err)
	is.Equal(promoted.Envelope.Stage, proxy.Production)
	again, err := environment.Promote(ctx, store, newProposal(smallDocument(1), 4))
	is.NoErr(err)
	is.True(again.Unchanged)

	edited := newProposal(smallDocument(2), 5)
	edited.BaseRevision = new(proxy.Revision)
	*edited.BaseRevision = 1
	_, err = environment.Try(ctx, store, edited)
	is.NoErr(err)
	stale := newProposal(smallDocument(3), 6)
	stale.BaseRevision = edited.BaseRevision
	_, err = environment.Try(ctx, store, stale)
	var conflict *environment.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(errors.Is(err, proxy.ErrConflict))
	is.Equal(conflict.Current.Author, "author-5")
	is.Equal(conflict.Changes.String(), "limit of account a changed: rate 2 -> 3")
	_, err = environment.Promote(ctx, store, newProposal(smallDocument(1), 7))
	is.NoErr(err) // already in production, although no longer in the trial stage
	_, err = environment.Promote(ctx, store, newProposal(smallDocument(3), 8))
	is.True(errors.As(err, &notTried))
}

// Guards against an audit trail that grows without bound or loses one of the last
// AuditSlots revisions.
func TestTrailIsBounded(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newMemory()
	const revisions = environment.AuditSlots + 3
	for i := range revisions {
		p := newProposal(smallDocument(i+1), 1)
		p.Nonce = environment.NewNonce([environment.NonceSize]byte{byte(i), byte(i >> 8)})
		_, err := environment.Try(ctx, store, p)
		is.NoErr(err)
	}
	is.Equal(len(store.objects), environment.AuditSlots+1)
	trail, err := environment.ReadTrail(ctx, store, "demo", proxy.Trial)
	is.NoErr(err)
	is.Equal(len(trail.Records), environment.AuditSlots)
	is.Equal(len(trail.Missing), 0)
	is.Equal(trail.Records[0].Revision, proxy.Revision(revisions))
	is.Equal(trail.Records[0].Summary.Lines, []string{fmt.Sprintf("limit of account a changed: rate %d -> %d", revisions-1, revisions)})
}

// outcome is the result of one change as its operator received it.
type outcome struct {
	stage    proxy.Stage
	nonce    environment.Nonce
	accepted *environment.Accepted
	err      error
}

// Guards against changes that are applied twice, reported as failed although they took
// effect, or reported as accepted although they did not, and against lost audit
// records. Operators run concurrently; answers are lost, writes are delayed, and clients
// end between two writes.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &scheduler{store: newMemory(), requests: make(chan *request), finished: make(chan struct{})}
		s.choose = func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(r, label) }
		operators := rapid.IntRange(2, 3).Draw(r, "operators")
		changes := rapid.IntRange(1, 4).Draw(r, "changes")
		outcomes := make([][]outcome, operators)
		for i := range operators {
			go func() {
				defer func() { s.finished <- struct{}{} }()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				c := &client{scheduler: s, cancel: cancel}
				for j := range changes {
					p := newProposal(smallDocument(1+10*i+j), byte(1+10*i+j))
					accepted, err := environment.Try(ctx, c, p)
					outcomes[i] = append(outcomes[i], outcome{proxy.Trial, p.Nonce, accepted, err})
					p.Nonce = environment.NewNonce([environment.NonceSize]byte{byte(101 + 10*i + j)})
					accepted, err = environment.Promote(ctx, c, p)
					outcomes[i] = append(outcomes[i], outcome{proxy.Production, p.Nonce, accepted, err})
				}
			}()
		}
		s.run(operators)
		checkOutcomes(r, s.store, outcomes)
	})
}

func checkOutcomes(t *rapid.T, store proxy.Store, outcomes [][]outcome) {
	recorded := map[environment.Nonce]int{}
	tried := map[environment.Digest]bool{}
	for _, stage := range []proxy.Stage{proxy.Trial, proxy.Production} {
		trail, err := environment.ReadTrail(context.Background(), store, "demo", stage)
		if err != nil || len(trail.Missing) > 0 {
			t.Fatalf("%s trail: %v, missing %v", stage, err, trail)
		}
		for _, record := range trail.Records {
			recorded[record.Nonce]++
			if stage == proxy.Trial {
				tried[record.Digest] = true
			} else if !tried[record.Digest] {
				t.Fatalf("digest %s was promoted without a trial", record.Digest)
			}
		}
	}
	for _, operatorOutcomes := range outcomes {
		for _, o := range operatorOutcomes {
			want := 0
			var unresolved *environment.UnresolvedError
			switch {
			case errors.As(o.err, &unresolved):
				want = min(1, recorded[o.nonce])
			case o.err == nil && !o.accepted.Unchanged:
				want = 1
			}
			if recorded[o.nonce] != want {
				t.Fatalf("%s nonce %s recorded %d times; the operator received %+v, %v", o.stage, o.nonce, recorded[o.nonce], o.accepted, o.err)
			}
		}
	}
}

// Guards against reporting a change as failed, or repeating it, when its answer was
// lost and another operator's change replaced it before the author could read it.
func TestLostAnswerAfterReplacement(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &lossy{memory: newMemory(), lose: 1}
	store.after = func() {
		_, err := environment.Try(ctx, store.memory, newProposal(smallDocument(2), 2))
		is.NoErr(err)
	}
	accepted, err := environment.Try(ctx, store, newProposal(smallDocument(1), 1))
	is.NoErr(err)
	is.True(accepted.Superseded)
	is.Equal(accepted.Envelope.Revision, proxy.Revision(1))
	trail, err := environment.ReadTrail(ctx, store, "demo", proxy.Trial)
	is.NoErr(err)
	is.Equal(len(trail.Records), 2)
}

// lossy loses the answers of the next lose writes and calls after when each has taken
// effect.
type lossy struct {
	*memory
	lose  int
	after func()
}

func (l *lossy) Put(ctx context.Context, key proxy.Key, value []byte, expected proxy.Version) (proxy.Version, error) {
	version, err := l.memory.Put(ctx, key, value, expected)
	if l.lose == 0 {
		return version, err
	}
	l.lose--
	l.after()
	return 0, errLost
}

// Guards against verifiers in differences and formatted documents, and against changes
// that a difference lists wrongly.
func TestDiffShowsNoVerifier(t *testing.T) {
	is := is.New(t)
	text := readExample(t, "loom-ledger")
	from, err := environment.Decode([]byte(text))
	is.NoErr(err)
	other, err := environment.DeriveVerifier("other", []byte("salt of the test"))
	is.NoErr(err)
	to, err := environment.Decode([]byte(text))
	is.NoErr(err)
	to.Accounts[0].Keys[0].Verifier = other.Text()
	to.Accounts[1].Keys[0].Withdrawn = true
	to.Accounts = to.Accounts[:7]
	to.Groups[0].Instances = to.Groups[0].Instances[:2]
	to.Groups = to.Groups[:2]
	to.Routes[0].Priority = 2
	changes := environment.Diff(from, to)
	is.Equal(changes.String(), strings.Join([]string{
		"key clerks-bahir-dar-1 changed: verifier replaced",
		"key clerks-gondar-1 changed: withdrawn false -> true",
		"account reports removed",
		"key reports-1 removed",
		"instance orders/orders-3 removed",
		"group stock removed",
		"route payouts changed: priority 8 -> 2",
	}, "\n"))
	is.Equal(len(environment.Diff(from, from)), 0)
	all := environment.Diff(nil, from).String()
	is.True(!strings.Contains(all, "SCRAM"))
	is.True(!strings.Contains(fmt.Sprintf("%+v %#v", *from, from.Accounts), "SCRAM"))
}
