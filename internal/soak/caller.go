package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// answerTime limits the wait for an answer. It exceeds the time-out of the routes.
const answerTime = 5 * time.Second

// caller is a client that opens sessions one after the other. It is the only
// writer of its items, so that their values rise.
type caller struct {
	soak   *Soak
	name   string
	random *rand.Rand

	client   *deployment.Client
	session  string
	database string
	key      string
	host     *host
	prepared bool
	// item is written now. A caller that does not know the effect of a write takes
	// another one, since the write may still arrive.
	item string
	// published is the item, for the other callers.
	published atomic.Pointer[string]
	sessions  int
	items     int
	value     int
	requests  int
}

// run opens sessions until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.open() {
			pause(ctx, time.Duration(20+c.random.IntN(200))*time.Millisecond)
			continue
		}
		for range 1 + c.random.IntN(25) {
			if ctx.Err() != nil || !c.operate() {
				break
			}
			pause(ctx, time.Duration(c.random.IntN(40))*time.Millisecond)
			if c.random.IntN(40) == 0 {
				pause(ctx, time.Second)
			}
		}
		c.client.Close()
	}
}

func (c *caller) newItem() {
	c.items++
	c.item, c.value = fmt.Sprintf("%s-%d", c.name, c.items), 0
	item := c.item
	c.published.Store(&item)
}

// open starts a session on a host of the caller's choice.
func (c *caller) open() bool {
	c.sessions++
	c.session = fmt.Sprintf("%s.%d", c.name, c.sessions)
	c.host = c.soak.hosts[c.random.IntN(len(c.soak.hosts))]
	group := c.soak.deployment.Groups[c.random.IntN(len(c.soak.deployment.Groups))]
	// The items of a caller differ by group.
	c.database = group.Name + "-" + []string{"strict", "own", "own", "bounded"}[c.random.IntN(4)]
	c.key, c.prepared = c.soak.operator.key(c.random), false
	client, hello, err := deployment.Dial(c.host.callers.Address(), c.database, c.key)
	if err != nil || !strings.HasPrefix(hello, "READY") {
		if client != nil {
			client.Close()
		}
		return false
	}
	c.client = client
	return true
}

// operate runs a statement or a transaction. It returns false once the session is
// of no more use.
func (c *caller) operate() bool {
	switch draw := c.random.IntN(20); {
	case draw < 4:
		return c.transact()
	case draw < 9:
		s := c.statement("WRITE")
		usable := c.ask(&s)
		c.soak.ledger.answered(s)
		if s.Outcome == Unknown {
			c.newItem()
		}
		return usable
	default:
		s := c.statement("READ")
		usable := c.ask(&s)
		c.soak.ledger.answered(s)
		return usable
	}
}

// itemOf returns the item's name in the session's group.
func (c *caller) itemOf(item string) string {
	group, _, _ := strings.Cut(c.database, "-")
	return group + "/" + item
}

// statement returns a new statement. Reads look at an item of any caller.
func (c *caller) statement(verb string) Statement {
	c.requests++
	now := time.Now()
	s := Statement{
		Request: fmt.Sprintf("%s.r%d", c.name, c.requests), Session: c.session, Database: c.database,
		Key: c.key, Verb: verb, Sent: now, Asked: now,
	}
	switch verb {
	case "WRITE":
		c.value++
		s.Item, s.Value = c.itemOf(c.item), c.value
	case "READ":
		s.Item = c.itemOf(c.soak.anyItem(c, c.random))
	}
	return s
}

// ask sends a statement and notes its answer. It returns false once the session is
// of no more use.
func (c *caller) ask(s *Statement) bool {
	text := s.Verb + " " + s.Item
	switch {
	case s.Verb == "COMMIT":
		text = s.Verb
	case s.Verb == "WRITE":
		text += " " + strconv.Itoa(s.Value)
	case c.random.IntN(4) == 0:
		// The statement is prepared in one session of many that use the same name.
		s.Shape = "q" + c.session
		if !c.prepare(s.Shape) {
			s.Answered = time.Now()
			return false
		}
		text = "EXECUTE p " + s.Item
	}
	s.Asked = time.Now()
	answer, ok := c.exchange(s.Request, text)
	s.Answered = time.Now()
	if !ok {
		c.soak.lost(*s, c.host)
		return false
	}
	s.note(answer)
	return strings.Contains(answer, "READY I") || strings.Contains(answer, "READY T")
}

func (c *caller) prepare(shape string) bool {
	if c.prepared {
		return true
	}
	c.requests++
	answer, ok := c.exchange(fmt.Sprintf("%s.r%d", c.name, c.requests), "PARSE p READ "+shape)
	c.prepared = ok && strings.HasPrefix(answer, "COMPLETE")
	return c.prepared
}

func (c *caller) exchange(request, text string) (string, bool) {
	if c.client.Limit(time.Now().Add(answerTime)) != nil {
		return "", false
	}
	answer, err := c.client.QueryAs(request, text)
	return answer, err == nil
}

// note takes over what an answer tells.
func (s *Statement) note(answer string) {
	for _, line := range strings.Split(answer, "|") {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			// An item that was never written has an empty value.
			s.Value, _ = strconv.Atoi(rest)
		case "COMPLETE":
			s.Outcome, s.Signature = Succeeded, rest
		case "ERROR":
			code, _, _ := strings.Cut(rest, " ")
			if slices.Contains(promises, code) {
				s.Outcome = NotKept
			}
		}
	}
}

// transact runs a transaction: some statements, and its end.
func (c *caller) transact() bool {
	began := time.Now()
	c.requests++
	answer, ok := c.exchange(fmt.Sprintf("%s.r%d", c.name, c.requests), "BEGIN")
	if !ok || !strings.HasPrefix(answer, "COMPLETE") {
		return ok && strings.Contains(answer, "READY I")
	}
	var statements []Statement
	wrote := 0
	usable := true
	for range 1 + c.random.IntN(4) {
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
		s := c.statement([]string{"READ", "WRITE"}[c.random.IntN(2)])
		if s.Verb == "READ" && wrote > 0 && c.random.IntN(2) == 0 {
			s.Item = c.itemOf(c.item)
		}
		s.Sent = began
		usable = c.ask(&s)
		statements = append(statements, s)
		if s.Verb == "READ" && s.Outcome == Succeeded && s.Item == c.itemOf(c.item) && s.Value < wrote {
			c.soak.ledger.report("PINNED", "%s returned %d in a transaction that had written %d", s.Request, s.Value, wrote)
		}
		if s.Outcome != Succeeded {
			c.end(statements, NotKept)
			if !usable {
				return false
			}
			answer, ok := c.exchange(s.Request+".end", "ROLLBACK")
			return ok && strings.Contains(answer, "READY I")
		}
		if s.Verb == "WRITE" {
			wrote = s.Value
		}
	}
	switch draw := c.random.IntN(10); {
	case draw == 0:
		// The client leaves inside the transaction.
		c.end(statements, NotKept)
		return false
	case draw == 1:
		answer, ok := c.exchange(statements[0].Request+".end", "ROLLBACK")
		c.end(statements, NotKept)
		return ok && strings.Contains(answer, "READY I")
	}
	commit := c.statement("COMMIT")
	commit.Sent = began
	usable = c.ask(&commit)
	c.end(append(statements, commit), commit.Outcome)
	return usable
}

// end records the statements of a transaction once its outcome is known. Writes
// share it; they are acknowledged with the commit.
func (c *caller) end(statements []Statement, outcome Outcome) {
	answered := time.Now()
	for _, s := range statements {
		if s.Verb == "WRITE" {
			s.Outcome, s.Answered = outcome, answered
		}
		c.soak.ledger.answered(s)
	}
	if outcome == Unknown {
		c.newItem()
	}
}

// pause waits, for less if ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
