package frontend_test

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// messageGroup contains the messages that a client sends up to one ReadyForQuery.
type messageGroup []pgproto3.FrontendMessage

var differentialTexts = []string{
	"begin", "commit", "rollback", "savepoint s", "rollback to savepoint s", "wrong", "", "select 1", "show search_path",
	"set search_path = 'one'", "set search_path = 'two'", "reset search_path", "select value from kv where key = 'a'",
	"insert into kv values ('a', '1')", "update kv set value = value || 'x'", "delete from kv", "deallocate p1", "deallocate all", "discard all",
	"begin; select 1", "set search_path = 'three'; select 1; wrong",
}

// randomGroup returns a random Query, or random extended-query messages with Sync.
func randomGroup(random *rand.Rand) messageGroup {
	pick := func(from []string) string { return from[random.Intn(len(from))] }
	names := []string{"", "p1", "p2"}
	if random.Intn(3) == 0 {
		return messageGroup{&pgproto3.Query{String: pick(differentialTexts)}}
	}
	var g messageGroup
	for range random.Intn(6) {
		switch random.Intn(8) {
		case 0, 1:
			g = append(g, &pgproto3.Parse{Name: pick(names), Query: pick(differentialTexts[:19])})
		case 2:
			g = append(g, &pgproto3.Bind{PreparedStatement: pick(names), DestinationPortal: pick(names)})
		case 3:
			g = append(g, &pgproto3.Describe{ObjectType: "SP"[random.Intn(2)], Name: pick(names)})
		case 4:
			g = append(g, &pgproto3.Execute{Portal: pick(names)})
		case 5:
			g = append(g, &pgproto3.Close{ObjectType: "SP"[random.Intn(2)], Name: pick(names)})
		case 6:
			g = append(g, &pgproto3.Flush{})
		case 7:
			g = append(g, statementMessages(pick(differentialTexts[:19]))...)
		}
	}
	return append(g, &pgproto3.Sync{})
}

// TestDifferential guards against replies that differ from those of a direct
// connection. It sends the same random messages to an instance directly and through
// the server, where another session causes connections to be reset.
func TestDifferential(t *testing.T) {
	for seed := range int64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewSource(seed))
			_, directAddress := emulated(t, 2)
			h, _ := emulated(t, 3) // one for the monitor of the pool, one for each session
			direct := h.dialAt(directAddress, "db")
			proxied := h.dial()
			other := h.dial()
			ready := ""
			for round := range 150 {
				g := randomGroup(random)
				send(direct, g...)
				send(proxied, g...)
				want := h.replies(direct, 1)
				got := h.replies(proxied, 1)
				failed := ready == "ready E"
				ready = want[len(want)-1]
				if failed && isFailed(got) && isFailed(want) {
					for _, conn := range []*pgproto3.Frontend{direct, proxied} {
						send(conn, &pgproto3.Query{String: "rollback"})
						is.Equal(h.replies(conn, 1), []string{"ROLLBACK", "ready I"})
					}
					ready = "ready I"
					continue
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("round %d: %s\n got %v\nwant %v", round, describeGroup(g), got, want)
				}
				if random.Intn(4) == 0 {
					send(other, &pgproto3.Query{String: "set search_path = 'other'"})
					is.Equal(h.replies(other, 1), []string{"SET", "ready I"})
				}
			}
			is.Equal(h.count("front.invariants.violated"), int64(0))
		})
	}
}

// isFailed reports whether the replies end in a failed transaction. In this state the
// server cannot prepare missing statements on its connection, so an error may concern
// more messages than on a direct connection, or an earlier one. The test then rolls
// back.
func isFailed(replies []string) bool { return replies[len(replies)-1] == "ready E" }

func describeGroup(g messageGroup) string {
	text := ""
	for _, message := range g {
		text += fmt.Sprintf("%T%+v ", message, message)
	}
	return text
}
