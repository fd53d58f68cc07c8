package promotion_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

func object() *promotion.Object {
	return &promotion.Object{
		Group:   "orders",
		Term:    4,
		Members: []proxy.InstanceID{"a", "b", "c"},
		Eras: []promotion.Era{
			{Term: 1, Primary: "a"},
			{Term: 2, Primary: "b", Start: 100},
			{Term: 4, Primary: "c", Start: 200},
		},
	}
}

// TestObjectEncoding guards against a stored object that does not read back.
func TestObjectEncoding(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(object())
	is.NoErr(err)
	read, err := promotion.Decode(value)
	is.NoErr(err)
	is.Equal(read, object())
}

// TestObjectValidate guards against decisions on a damaged object.
func TestObjectValidate(t *testing.T) {
	cases := map[string]func(o *promotion.Object){
		"no group":               func(o *promotion.Object) { o.Group = "" },
		"no members":             func(o *promotion.Object) { o.Members = nil },
		"member twice":           func(o *promotion.Object) { o.Members[1] = "a" },
		"no eras":                func(o *promotion.Object) { o.Eras = nil },
		"era after the term":     func(o *promotion.Object) { o.Term = 3 },
		"eras out of order":      func(o *promotion.Object) { o.Eras[1].Term = 1 },
		"start before the last":  func(o *promotion.Object) { o.Eras[2].Start = 50 },
		"primary not a member":   func(o *promotion.Object) { o.Members = o.Members[:2] },
		"next is not an id":      func(o *promotion.Object) { o.Next = "D E" },
		"member is not an id":    func(o *promotion.Object) { o.Members[0] = "A B" },
		"era of term zero":       func(o *promotion.Object) { o.Eras[0].Term = 0 },
		"more members than read": func(o *promotion.Object) { o.Members = make([]proxy.InstanceID, promotion.MaxMembers+1) },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := object()
			is.NoErr(o.Validate())
			damage(o)
			is.True(o.Validate() != nil)
		})
	}
}

// TestQuorums guards against a set of replicas that confirms a write and a set
// that permits a promotion without a replica in common.
func TestQuorums(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= promotion.MaxMembers; n++ {
		o := &promotion.Object{Members: make([]proxy.InstanceID, n)}
		is.True(o.Confirmations()+o.Departures() > n-1)
	}
}

// TestDiverged guards against following a primary with log that it lacks, and
// against rewinding replicas that need not be.
func TestDiverged(t *testing.T) {
	cases := []struct {
		term proxy.Term
		at   proxy.Position
		want bool
	}{
		{term: 0, at: 0, want: true}, // of unknown origin once the primary has changed
		{term: 1, at: 100, want: false},
		{term: 1, at: 101, want: true},
		{term: 2, at: 150, want: false},
		{term: 3, at: 200, want: false}, // term 3 renews the era of term 2
		{term: 3, at: 201, want: true},
		{term: 4, at: 900, want: false},
	}
	is := is.New(t)
	for _, c := range cases {
		is.Equal(object().Diverged(c.term, c.at), c.want)
	}
}
