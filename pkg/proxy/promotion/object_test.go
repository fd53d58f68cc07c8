package promotion_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

func testObject() *promotion.Object {
	return &promotion.Object{
		Group:   "orders",
		Term:    4,
		Members: []proxy.InstanceID{"a", "b", "c"},
		Epochs: []promotion.Epoch{
			{Term: 1, Primary: "a"},
			{Term: 2, Primary: "b", Start: 100},
			{Term: 4, Primary: "c", Start: 200},
		},
	}
}

// TestObjectEncoding guards against a stored object that cannot be decoded to the same
// value.
func TestObjectEncoding(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(testObject())
	is.NoErr(err)
	read, err := promotion.Decode(value)
	is.NoErr(err)
	is.Equal(read, testObject())
}

// TestObjectValidate guards against accepting an invalid object.
func TestObjectValidate(t *testing.T) {
	cases := map[string]func(o *promotion.Object){
		"no group":              func(o *promotion.Object) { o.Group = "" },
		"no members":            func(o *promotion.Object) { o.Members = nil },
		"member twice":          func(o *promotion.Object) { o.Members[1] = "a" },
		"no epochs":             func(o *promotion.Object) { o.Epochs = nil },
		"epoch after the term":  func(o *promotion.Object) { o.Term = 3 },
		"epochs out of order":   func(o *promotion.Object) { o.Epochs[1].Term = 1 },
		"start before the last": func(o *promotion.Object) { o.Epochs[2].Start = 50 },
		"primary not a member":  func(o *promotion.Object) { o.Members = o.Members[:2] },
		"next is not an id":     func(o *promotion.Object) { o.RequestedPrimary = "D E" },
		"member is not an id":   func(o *promotion.Object) { o.Members[0] = "A B" },
		"epoch of term zero":    func(o *promotion.Object) { o.Epochs[0].Term = 0 },
		"too many members":      func(o *promotion.Object) { o.Members = make([]proxy.InstanceID, promotion.MaxMembers+1) },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := testObject()
			is.NoErr(o.Validate())
			damage(o)
			is.True(o.Validate() != nil)
		})
	}
}

// TestQuorums guards against a write quorum and an election quorum without a replica
// in common.
func TestQuorums(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= promotion.MaxMembers; n++ {
		o := &promotion.Object{Members: make([]proxy.InstanceID, n)}
		is.True(o.WriteQuorum()+o.ElectionQuorum() > n-1)
	}
}

// TestDiverged guards against a replica that follows a primary although it has log that
// the primary lacks, and against needless rewinds.
func TestDiverged(t *testing.T) {
	cases := []struct {
		term proxy.Term
		end  proxy.Position
		want bool
	}{
		{term: 0, end: 0, want: true}, // its origin is unknown, and the primary has changed
		{term: 1, end: 100, want: false},
		{term: 1, end: 101, want: true},
		{term: 2, end: 150, want: false},
		{term: 3, end: 200, want: false}, // term 3 renews term 2
		{term: 3, end: 201, want: true},
		{term: 4, end: 900, want: false},
	}
	is := is.New(t)
	for _, c := range cases {
		is.Equal(testObject().Diverged(c.term, c.end), c.want)
	}
}
