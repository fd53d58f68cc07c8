package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/soak"
)

// Guards against a graceful stop that interrupts an open transaction.
func TestStopLetsTransactionsEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 2)
	c, idle := w.session(0, "ledger-strict"), w.session(0, "ledger-strict")
	c.query("BEGIN")
	is.True(strings.HasPrefix(c.query("WRITE s one"), "COMPLETE i-"))
	w.stops[0]()
	_, err := idle.ReadLine()
	is.True(err != nil) // the idle session is closed
	is.True(strings.HasPrefix(c.query("COMMIT"), "COMPLETE i-"))
	w.awaitAnswer(w.hosts[1], "ledger-strict", "READ s", "DATAROW one|")
}

// stalledConn simulates the connection of a host that gets no processor time: while
// stalled, reads wait until the host sets a deadline on the connection or closes it.
type stalledConn struct {
	net.Conn
	stalled atomic.Bool
	once    sync.Once
	resumed chan struct{}
}

func (c *stalledConn) Read(b []byte) (int, error) {
	if c.stalled.Load() {
		<-c.resumed
	}
	return c.Conn.Read(b)
}

func (c *stalledConn) resume() {
	if c.stalled.Load() {
		c.once.Do(func() { close(c.resumed) })
	}
}

func (c *stalledConn) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	c.resume()
	return err
}

func (c *stalledConn) Close() error {
	err := c.Conn.Close()
	c.resume()
	return err
}

// Guards against a stop that closes a session whose next statement has arrived but
// was not read yet, because the host had no processor time.
func TestStopAnswersStatementsThatHaveArrived(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 1)
	var accepted atomic.Pointer[stalledConn]
	w.wrap = func(conn net.Conn) net.Conn {
		c := &stalledConn{Conn: conn, resumed: make(chan struct{})}
		accepted.Store(c)
		return c
	}
	w.startHost("host-late", "gondar")
	host := w.hosts[1]
	w.await(host, "ledger-strict", "READ warm")
	conn, err := net.Dial("tcp4", host.Listen)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	exchange := func(message string) string {
		_, err := conn.Write([]byte(message))
		is.NoErr(err)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return "connection lost"
			}
			if strings.HasPrefix(line, "READY") {
				return strings.TrimSpace(line)
			}
		}
	}
	is.Equal(exchange("STARTUP ledger-strict key-clerks\r\n"), "READY I -")
	accepted.Load().stalled.Store(true) // the read of the next statement is under way
	exchange("QUERY r1 SET a b\r\n")
	_, err = conn.Write([]byte("QUERY r2 SET a c\r\n"))
	is.NoErr(err)
	w.stops[1]()
	is.Equal(exchange(""), "READY I -")
}

// lateConn simulates the connection of a host that gets no processor time between the
// start of the last wait for a statement and its end.
type lateConn struct {
	*net.TCPConn
	late    atomic.Bool
	reads   atomic.Int64
	waiting chan struct{}
}

func (c *lateConn) Read(b []byte) (int, error) {
	c.reads.Add(1)
	return c.TCPConn.Read(b)
}

func (c *lateConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if wait := time.Until(at); c.late.Load() && wait > 0 {
		c.waiting <- struct{}{}
		time.Sleep(wait + 20*time.Millisecond)
	}
	return err
}

// Guards against a stop that closes a session whose next statement has arrived although
// the time to wait for it has passed: a read after its deadline returns no bytes that are
// there.
func TestStopAnswersAStatementThatArrivedDuringTheLastWait(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 1)
	var accepted atomic.Pointer[lateConn]
	w.wrap = func(conn net.Conn) net.Conn {
		c := &lateConn{TCPConn: conn.(*net.TCPConn), waiting: make(chan struct{}, 1)}
		accepted.Store(c)
		return c
	}
	w.startHost("host-late", "gondar")
	w.await(w.hosts[1], "ledger-strict", "READ warm")
	c := w.session(1, "ledger-strict")
	late := accepted.Load()
	reads := late.reads.Load()
	is.True(strings.HasPrefix(c.query("SET a b"), "COMPLETE"))
	for late.reads.Load() < reads+1 { // the session waits for the next statement
		time.Sleep(time.Millisecond)
	}
	late.late.Store(true)
	w.stops[1]()
	<-late.waiting
	is.True(strings.HasPrefix(c.query("SET a c"), "COMPLETE"))
}

// Guards against a stop that closes sessions while the load balancer still sends their
// clients to this host, which then lose the statement that follows.
func TestStoppingHostServesUntilTheLoadBalancerLeavesIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 1)
	w.stops[0]()
	const pause = 200 * time.Millisecond // longer than the last wait for a statement
	time.Sleep(pause)
	response, err := http.Get("http://" + w.hosts[0].Ready + "/-/readyz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	c := w.session(0, "ledger-strict")
	for range 3 {
		time.Sleep(pause)
		is.True(strings.HasPrefix(c.query("READ a"), "DATAROW"))
	}
	_, err = c.ReadLine()
	is.True(err != nil) // the idle session is closed before the grace time ends
}

// Guards against a planned stop that leaves a group without a primary: of a host that
// begins a failover although another host could, and of one that is in the middle of it.
func TestStopWaitsForAFailover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 0)
	w.grace = 8 * time.Second
	relay, stop, err := soak.StartRelay("127.0.0.1:0", w.PromotionAddress)
	is.NoErr(err)
	t.Cleanup(stop)
	w.orders = relay.Address()
	w.startHost("host-0", "gondar")
	w.await(w.hosts[0], "ledger-strict", "READ warm")
	relay.SetMode(soak.DropBoth)
	old := w.Groups[0].Primary()
	w.Groups[0].Drain(old)
	w.awaitLeadership("replacing")
	w.stops[0]()
	time.Sleep(w.grace / 2) // no session is open, and new connections are refused
	relay.SetMode(soak.Healthy)
	is.NoErr(<-w.ended[0])
	w.awaitLeadership("settled")
	is.True(w.Groups[0].Primary() != old)
}

// Guards against a failover that a stopping host begins, and would have to finish before
// it ends, although another host is there.
func TestStoppingHostLeavesFailoversToOthers(t *testing.T) {
	t.Parallel()
	w := start(t, 2)
	w.stops[0]()
	w.Groups[0].Drain(w.Groups[0].Primary())
	w.awaitLeadership(`"host":"host-1"`)
	w.awaitLeadership("settled")
}

// transactions are clients that run one transaction after the other, with pauses, until their
// host ends the connection.
type transactions struct {
	deployment *testDeployment
	wait       sync.WaitGroup
	mu         sync.Mutex
	// committed counts the transactions that were committed, doubtful those whose commit was
	// answered as in doubt. lost are the requests that an instance ran and that got no answer.
	committed, doubtful int
	lost                []string
}

// longWork is how long an instance works on a read.
const longWork = 120 * time.Millisecond

func workOnReads(text string) time.Duration {
	if strings.Contains(text, "READ item") {
		return longWork
	}
	return 0
}

// run runs transactions of ten statements with pauses on a host.
func (c *transactions) run(host, number int) {
	client, hello := dial(c.deployment.hosts[host], "ledger-strict", "key-clerks")
	if client == nil || hello != "READY I -" {
		return
	}
	defer client.close()
	for n := 0; ; n++ {
		texts := []string{"BEGIN"}
		for s := range 8 {
			texts = append(texts, []string{"READ item", "WRITE item-%d v"}[s%2])
		}
		for s, text := range append(texts, "COMMIT") {
			id := fmt.Sprintf("h%d-c%d-%d-%d", host, number, n, s)
			if strings.Contains(text, "%d") {
				text = fmt.Sprintf(text, number)
			}
			answer := client.queryAs(id, text)
			if !c.record(id, text, answer) {
				return
			}
			if !strings.HasPrefix(answer, "COMPLETE") && !strings.HasPrefix(answer, "DATAROW") {
				client.query("ROLLBACK")
				break
			}
			time.Sleep(time.Duration(number) * 60 * time.Millisecond)
		}
	}
}

// record records an answer and reports whether the connection is still open.
func (c *transactions) record(id, text, answer string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answer == "connection lost":
		if c.deployment.Groups[0].RunCount(id) > 0 {
			c.lost = append(c.lost, id+" "+text)
		}
		return false
	case text == "COMMIT" && strings.HasPrefix(answer, "COMPLETE i-"):
		c.committed++
	case strings.HasPrefix(answer, "ERROR INDOUBT"):
		c.doubtful++
	}
	return true
}

// Guards against a planned stop that ends while instances work on statements of open
// transactions, or that leaves the client of a commit in doubt: of transactions on this
// host's own connections, on those that another host holds, and of another host on those that
// this host holds.
func TestStopAnswersStatementsOfTransactions(t *testing.T) {
	for name, test := range map[string]struct {
		start func(*testing.T, int) *testDeployment
		// stopsHolder reports that the host stops first that runs commands for the other.
		stopsHolder bool
	}{
		"own connections":              {start, false},
		"connections of another host":  {startForwarding, false},
		"connections for another host": {startForwarding, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := test.start(t, 2)
			w.Groups[0].SetWork(workOnReads)
			c := &transactions{deployment: w}
			for number := range 5 {
				for host := range w.hosts {
					c.wait.Go(func() { c.run(host, number) })
				}
			}
			time.Sleep(2 * longWork)
			first := 0
			if holdsMore := w.served(0) > w.served(1); holdsMore != test.stopsHolder {
				first = 1
			}
			for _, n := range []int{first, 1 - first} {
				w.stops[n]()
				is.NoErr(<-w.ended[n])
				stopped := w.logs[n].line("host stopped")
				is.True(strings.Contains(stopped, `"sessions":0,"commands":0`)) // nothing was cut off
			}
			c.wait.Wait()
			is.Equal(c.lost, nil)
			is.Equal(c.doubtful, 0)
			is.True(c.committed > 0)
		})
	}
}
