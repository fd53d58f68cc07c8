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

// answerTimeout bounds the wait for an answer. It exceeds the timeout of the routes.
const answerTimeout = 5 * time.Second

// simulatedClient opens one session after another. Only this client writes its
// items, so the values of an item increase.
type simulatedClient struct {
	soak   *Soak
	name   string
	random *rand.Rand

	client   *deployment.Client
	session  string
	database string
	key      string
	host     *host
	prepared bool
	// values are the session values that were acknowledged, in the form of
	// deployment.Run.Values.
	values string
	// item is the item that the client currently writes. After a write with unknown
	// outcome the client switches to a new item, since the write may still arrive.
	item string
	// published holds the current item for reads by other clients.
	published atomic.Pointer[string]
	sessions  int
	items     int
	value     int
	requests  int
}

// run opens sessions until ctx is done.
func (c *simulatedClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.open() {
			pause(ctx, time.Duration(20+c.random.IntN(200))*time.Millisecond)
			continue
		}
		for range 1 + c.random.IntN(25) {
			if ctx.Err() != nil || !c.runOperation() {
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

func (c *simulatedClient) newItem() {
	c.items++
	c.item, c.value = fmt.Sprintf("%s-%d", c.name, c.items), 0
	item := c.item
	c.published.Store(&item)
}

// open starts a session on a random host.
func (c *simulatedClient) open() bool {
	c.sessions++
	c.session = fmt.Sprintf("%s.%d", c.name, c.sessions)
	c.host = c.soak.hosts[c.random.IntN(len(c.soak.hosts))]
	group := c.soak.deployment.Groups[c.random.IntN(len(c.soak.deployment.Groups))]
	c.database = group.Name + "-" + []string{"strict", "own", "own", "bounded"}[c.random.IntN(4)]
	c.key, c.prepared, c.values = c.soak.operator.key(c.random), false, ""
	client, greeting, err := deployment.Dial(c.host.clientRelay.Address(), c.database, c.key)
	if err != nil || !strings.HasPrefix(greeting, "READY") {
		if client != nil {
			client.Close()
		}
		return false
	}
	c.client = client
	return c.sessions%valueSessions != 0 || c.setValue()
}

// valueSessions is the number of sessions of a client of which one sets a value.
const valueSessions = 3

// setValue sets a session value that differs from those of all other sessions, so that a
// mix-up between sessions is detected.
func (c *simulatedClient) setValue() bool {
	c.requests++
	answer, ok := c.query(fmt.Sprintf("%s.r%d", c.name, c.requests), "SET zone "+c.session)
	if !ok || !strings.HasPrefix(answer, "COMPLETE") {
		c.client.Close()
		return false
	}
	c.values = "zone " + c.session
	return true
}

// runOperation runs a statement or a transaction. It returns false if the session
// is no longer usable.
func (c *simulatedClient) runOperation() bool {
	switch draw := c.random.IntN(20); {
	case draw < 4:
		return c.runTransaction()
	case draw < 9:
		s := c.newStatement("WRITE")
		usable := c.execute(&s)
		c.soak.ledger.answered(s)
		if s.Outcome == Unknown {
			c.newItem()
		}
		return usable
	default:
		s := c.newStatement("READ")
		usable := c.execute(&s)
		c.soak.ledger.answered(s)
		return usable
	}
}

// groupItem returns the name of an item in the group of the session. Each group has
// its own items.
func (c *simulatedClient) groupItem(item string) string {
	group, _, _ := strings.Cut(c.database, "-")
	return group + "/" + item
}

// newStatement returns a new statement. A read may read an item of any client.
func (c *simulatedClient) newStatement(verb string) Statement {
	c.requests++
	now := time.Now()
	s := Statement{
		Request: fmt.Sprintf("%s.r%d", c.name, c.requests), Session: c.session, Database: c.database,
		Key: c.key, Values: c.values, Verb: verb, Began: now, Sent: now,
	}
	switch verb {
	case "WRITE":
		c.value++
		s.Item, s.Value = c.groupItem(c.item), c.value
	case "READ":
		s.Item = c.groupItem(c.soak.randomItem(c, c.random))
	}
	return s
}

// execute sends a statement and records its answer. It returns false if the
// session is no longer usable.
func (c *simulatedClient) execute(s *Statement) bool {
	text := s.Verb + " " + s.Item
	switch {
	case s.Verb == "COMMIT":
		text = s.Verb
	case s.Verb == "WRITE":
		text += " " + strconv.Itoa(s.Value)
	case c.random.IntN(4) == 0:
		// Many sessions prepare a statement under the name p. The shape differs by
		// session, so that a mix-up between sessions is detected.
		s.Shape = "q" + c.session
		if !c.prepare(s.Shape) {
			s.Answered = time.Now()
			return false
		}
		text = "EXECUTE p " + s.Item
	}
	s.Sent = time.Now()
	answer, ok := c.query(s.Request, text)
	s.Answered = time.Now()
	if !ok {
		c.soak.checkLost(*s, c.host)
		return false
	}
	s.parseAnswer(answer)
	return strings.Contains(answer, "READY I") || strings.Contains(answer, "READY T")
}

func (c *simulatedClient) prepare(shape string) bool {
	if c.prepared {
		return true
	}
	c.requests++
	answer, ok := c.query(fmt.Sprintf("%s.r%d", c.name, c.requests), "PARSE p READ "+shape)
	c.prepared = ok && strings.HasPrefix(answer, "COMPLETE")
	return c.prepared
}

func (c *simulatedClient) query(request, text string) (string, bool) {
	if c.client.SetIODeadline(time.Now().Add(answerTimeout)) != nil {
		return "", false
	}
	answer, err := c.client.QueryWithID(request, text)
	return answer, err == nil
}

// parseAnswer sets the outcome and result of a statement from its answer.
func (s *Statement) parseAnswer(answer string) {
	for _, line := range strings.Split(answer, "|") {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			// The value of an item that was never written is empty and counts as 0.
			s.Value, _ = strconv.Atoi(rest)
		case "COMPLETE":
			s.Outcome, s.Signature = Succeeded, rest
		case "ERROR":
			code, _, _ := strings.Cut(rest, " ")
			if slices.Contains(noEffectCodes, code) {
				s.Outcome = NoEffect
			}
		}
	}
}

// runTransaction runs a transaction of a few statements and ends it.
func (c *simulatedClient) runTransaction() bool {
	began := time.Now()
	c.requests++
	answer, ok := c.query(fmt.Sprintf("%s.r%d", c.name, c.requests), "BEGIN")
	if !ok || !strings.HasPrefix(answer, "COMPLETE") {
		return ok && strings.Contains(answer, "READY I")
	}
	var statements []Statement
	wrote := 0
	usable := true
	maxStatements, maxPause := 4, 20
	if c.soak.options.Stops {
		maxStatements, maxPause = 11, 600
	}
	for range 1 + c.random.IntN(maxStatements) {
		time.Sleep(time.Duration(c.random.IntN(maxPause)) * time.Millisecond)
		s := c.newStatement([]string{"READ", "WRITE"}[c.random.IntN(2)])
		if s.Verb == "READ" && wrote > 0 && c.random.IntN(2) == 0 {
			s.Item = c.groupItem(c.item)
		}
		s.Began = began
		usable = c.execute(&s)
		statements = append(statements, s)
		if s.Verb == "READ" && s.Outcome == Succeeded && s.Item == c.groupItem(c.item) && s.Value < wrote {
			c.soak.ledger.report("PINNED",
				"%s returned %d in a transaction that had written %d", s.Request, s.Value, wrote)
		}
		if s.Outcome != Succeeded {
			c.recordTransaction(statements, NoEffect)
			if !usable {
				return false
			}
			answer, ok := c.query(s.Request+".end", "ROLLBACK")
			return ok && strings.Contains(answer, "READY I")
		}
		if s.Verb == "WRITE" {
			wrote = s.Value
		}
	}
	switch draw := c.random.IntN(10); {
	case draw == 0:
		// The client disconnects inside the transaction.
		c.recordTransaction(statements, NoEffect)
		return false
	case draw == 1:
		answer, ok := c.query(statements[0].Request+".end", "ROLLBACK")
		c.recordTransaction(statements, NoEffect)
		return ok && strings.Contains(answer, "READY I")
	}
	commit := c.newStatement("COMMIT")
	commit.Began = began
	usable = c.execute(&commit)
	c.recordTransaction(append(statements, commit), commit.Outcome)
	return usable
}

// recordTransaction records the statements of a transaction that has ended. Writes
// get the outcome of the transaction and the time at which it ended, since the
// commit acknowledges them.
func (c *simulatedClient) recordTransaction(statements []Statement, outcome Outcome) {
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

// pause waits for d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
