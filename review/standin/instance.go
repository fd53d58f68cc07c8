package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an instance, as on the users' sheet for Sárgabusz: slots and a queue of
// statements, the cost of a new connection, heartbeats, and the time of a promotion.
const (
	slots         = 2
	queueLength   = 16
	handshakeTime = 12 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	promoteTime   = time.Second
	linkDelay     = 4 * time.Millisecond
	applyLag      = 20 * time.Millisecond
	// oldPrimaryTime is how long an old primary continues that can reach the new one.
	oldPrimaryTime = time.Second
)

// group is a database group: a primary and its replicas.
type group struct {
	name           string
	syncReplicas   int
	maxConnections int
	work           func(text string) time.Duration
	store          *store
	record         *record

	mu        sync.Mutex
	instances []*instance
	commits   int
	promoted  []promotion
	// received is closed and replaced when a replica has received commits.
	received chan struct{}
}

// promotion is a promotion that has taken effect, with the log that it began with.
type promotion struct {
	at       time.Time
	instance string
	term     int
	log      map[string]bool
}

// entry is a commit in a log. Request is the id of the write or COMMIT.
type entry struct {
	term, number int
	request      string
	writes       map[string]string
	visible      time.Time
}

// instance is one server of a group. The group's lock guards its fields.
type instance struct {
	id, zone, address string
	group             *group
	born              time.Time
	seq               int

	up, primary, draining bool
	// deaf reports that the replica receives nothing.
	deaf        bool
	term        int
	log         []entry
	waiting     int
	connections map[net.Conn]bool
	listener    net.Listener
	slot        chan struct{}
	// fault returns the code of the error with which a statement is answered, or an empty
	// string; nil for no faults.
	fault func(text string) string
}

func startGroup(name string, zones []string, syncReplicas, maxConnections int, s *store, r *record, work func(string) time.Duration) (*group, error) {
	g := &group{
		name: name, syncReplicas: syncReplicas, maxConnections: maxConnections, work: work, store: s, record: r,
		received: make(chan struct{}),
	}
	for n, zone := range zones {
		i := &instance{
			id: fmt.Sprintf("i-%s-%d", name, n+1), zone: zone, group: g, born: time.Now(), primary: n == 0, term: 1,
			connections: make(map[net.Conn]bool), slot: make(chan struct{}, slots),
		}
		g.instances = append(g.instances, i)
		if err := i.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		go i.beat()
	}
	return g, nil
}

func (i *instance) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	i.listener, i.address, i.up = listener, listener.Addr().String(), true
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	return nil
}

// beat registers the instance regularly, and removes its entry after three intervals of
// silence, which the store does.
func (i *instance) beat() {
	silent := 0
	for ; ; time.Sleep(heartbeat) {
		i.group.mu.Lock()
		up := i.up
		i.group.mu.Unlock()
		if up {
			silent = 0
			i.register()
		} else if silent++; silent == 3 {
			i.group.store.remove("servers", i.id)
		}
	}
}

func (i *instance) register() {
	i.group.mu.Lock()
	if !i.up {
		i.group.mu.Unlock()
		return
	}
	i.seq++
	role := "replica"
	if i.primary {
		role = "primary"
	}
	state := "ready"
	if i.draining {
		state = "draining"
	}
	spec := map[string]any{
		"service": i.group.name, "address": i.address, "zone": i.zone, "version": "v1", "capacity": slots,
		"state": state, "warmup_left_ms": 0, "db_role": role, "seq": i.seq, "born": i.born.UnixMilli(),
	}
	i.group.mu.Unlock()
	i.group.store.put("servers", i.id, spec)
}

// drain makes the instance report that it is about to leave. It goes on serving and
// receiving.
func (i *instance) drain() {
	i.group.mu.Lock()
	i.draining = true
	i.group.record.line("instance %s reports draining, log up to %s", i.id, i.end())
	i.group.mu.Unlock()
	i.register()
}

// deafen makes the replica receive nothing for deafFor, or until it is promoted or follows
// a new primary.
func (i *instance) deafen() {
	hear := func(hears bool) {
		i.group.mu.Lock()
		defer i.group.mu.Unlock()
		i.deaf = !hears
		i.group.record.line("instance %s receives commits: %t, log up to %s", i.id, hears, i.end())
	}
	hear(false)
	time.AfterFunc(deafFor, func() { hear(true) })
}

// crash ends the instance: its connections break and its port is closed. Its log stays.
func (i *instance) crash() {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	i.up = false
	_ = i.listener.Close()
	for conn := range i.connections {
		_ = conn.Close()
	}
	i.group.wake()
	i.group.record.line("instance %s crashes with log up to %s", i.id, i.end())
}

// restart starts a crashed instance with its log: as a replica if another one was promoted.
func (i *instance) restart() {
	i.group.mu.Lock()
	i.born, i.seq, i.deaf = time.Now(), 0, false
	for _, other := range i.group.instances {
		if other != i && other.primary && other.term > i.term {
			i.primary = false
			i.follow(other)
		}
	}
	address := i.address
	i.group.record.line("instance %s is back, primary %t, log up to %s", i.id, i.primary, i.end())
	i.group.mu.Unlock()
	if err := i.listen(address); err != nil {
		i.group.record.line("instance %s cannot listen: %v", i.id, err)
		return
	}
	i.register()
}

// follow makes i a replica with the log of a primary. The caller holds the group's lock.
func (i *instance) follow(primary *instance) {
	kept := 0
	for kept < len(i.log) && kept < len(primary.log) && i.log[kept].request == primary.log[kept].request {
		kept++
	}
	for _, e := range i.log[kept:] {
		i.group.record.line("instance %s rolls back %d.%d (request %s)", i.id, e.term, e.number, e.request)
	}
	i.log = append(i.log[:kept:kept], primary.log[kept:]...)
	i.term, i.primary = primary.term, false
}

// end returns the last position in the log. The caller holds the group's lock.
func (i *instance) end() string {
	if len(i.log) == 0 {
		return fmt.Sprintf("%d.0", i.term)
	}
	last := i.log[len(i.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// applied returns the number of commits that are applied. The caller holds the lock.
func (i *instance) applied() int {
	n, now := len(i.log), time.Now()
	for !i.primary && n > 0 && i.log[n-1].visible.After(now) {
		n--
	}
	return n
}

// position returns the position of the last commit that is applied.
func (i *instance) position() (term, number int) {
	if n := i.applied(); n > 0 {
		return i.log[n-1].term, i.log[n-1].number
	}
	return i.term, 0
}

func (g *group) wake() {
	close(g.received)
	g.received = make(chan struct{})
}

// commit appends a commit to the log of the primary and sends it to the replicas. It
// returns when as many replicas have received it as the service requires, or false if the
// instance ends before.
func (g *group) commit(i *instance, request string, writes map[string]string) bool {
	g.mu.Lock()
	g.commits++
	e := entry{term: i.term, number: g.commits, request: request, writes: writes, visible: time.Now().Add(applyLag)}
	i.log = append(i.log, e)
	term := i.term
	for _, other := range g.instances {
		if other != i {
			time.AfterFunc(linkDelay, func() { g.receive(other, i, term) })
		}
	}
	for {
		count := 0
		for _, other := range g.instances {
			if other != i && !other.primary && other.has(request) {
				count++
			}
		}
		received, up, primary := g.received, i.up, i.primary && i.term == term
		g.mu.Unlock()
		if count >= g.syncReplicas {
			return up
		}
		if !up || !primary {
			return false
		}
		<-received
		g.mu.Lock()
	}
}

func (i *instance) has(request string) bool {
	for n := len(i.log) - 1; n >= 0 && n > len(i.log)-200; n-- {
		if i.log[n].request == request {
			return true
		}
	}
	return false
}

// receive copies what a replica lacks of its primary's log.
func (g *group) receive(replica, primary *instance, term int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !replica.up || !primary.up || replica.deaf || replica.primary || replica.term > term || primary.term != term || !primary.primary {
		return
	}
	replica.term = term
	replica.log = append(replica.log, primary.log[len(replica.log):]...)
	g.wake()
}

// promote makes an instance the primary of the next term after promoteTime.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var chosen *instance
	for _, i := range g.instances {
		if i.id == id && i.up {
			chosen = i
		}
	}
	if chosen == nil {
		return false
	}
	if !chosen.primary {
		time.AfterFunc(promoteTime, func() { g.lead(chosen) })
	}
	return true
}

func (g *group) lead(chosen *instance) {
	g.mu.Lock()
	term := 0
	for _, i := range g.instances {
		term = max(term, i.term)
	}
	if !chosen.up || chosen.primary && chosen.term == term {
		g.mu.Unlock()
		return
	}
	var old []*instance
	p := promotion{at: time.Now(), instance: chosen.id, term: term + 1, log: make(map[string]bool)}
	for _, e := range chosen.log {
		p.log[e.request] = true
	}
	chosen.primary, chosen.deaf, chosen.term = true, false, term+1
	for _, i := range g.instances {
		switch {
		case i == chosen || !i.up:
		case i.primary:
			old = append(old, i)
		default:
			i.deaf = false
			i.follow(chosen)
		}
	}
	g.promoted = append(g.promoted, p)
	g.record.line("instance %s leads term %d with log up to %s", chosen.id, term+1, chosen.end())
	g.wake()
	g.mu.Unlock()
	for _, i := range old {
		time.AfterFunc(oldPrimaryTime, func() { g.demote(i, chosen) })
	}
	for _, i := range g.instances {
		i.register()
	}
}

func (g *group) demote(old, primary *instance) {
	g.mu.Lock()
	if old.up && old.primary && primary.term > old.term {
		old.follow(primary)
	}
	g.mu.Unlock()
	old.register()
}

// promoteHandler serves POST /promote.
func promoteHandler(groups []*group, r *record) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var body struct{ Service, ID string }
		if request.URL.Path != "/promote" || json.NewDecoder(request.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		status := http.StatusConflict
		for _, g := range groups {
			if g.name == body.Service && g.promote(body.ID) {
				status = http.StatusOK
			}
		}
		r.line("POST /promote service %s id %s holder %s token %s: %d", body.Service, body.ID,
			request.Header.Get("Lease-Holder"), request.Header.Get("Fencing-Token"), status)
		w.WriteHeader(status)
	})
}

// serverSession is a connection to an instance.
type serverSession struct {
	*instance
	prepared map[string][2]string
	values   map[string]string
	state    string
	plain    bool
	writes   map[string]string
}

// readMessage reads one message, which ends with CR LF.
func readMessage(in *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(part)
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

func (i *instance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	line, err := readMessage(in)
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	g := i.group
	g.mu.Lock()
	refusal := ""
	switch {
	case !i.up:
		g.mu.Unlock()
		return
	case len(fields) < 3 || fields[0] != "STARTUP":
		refusal = "MALFORMED"
	case fields[1] != g.name || len(fields) > 3 && fields[3] != i.id:
		refusal = "MISROUTED"
	case len(i.connections) >= g.maxConnections:
		refusal = "CONNLIMIT"
	default:
		i.connections[conn] = true
	}
	g.mu.Unlock()
	if refusal != "" {
		fmt.Fprintf(conn, "ERROR %s %s\r\n", refusal, i.id)
		return
	}
	defer func() {
		g.mu.Lock()
		delete(i.connections, conn)
		g.mu.Unlock()
	}()
	i.occupy(handshakeTime)
	s := &serverSession{instance: i, prepared: make(map[string][2]string), values: make(map[string]string), state: "I"}
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", s.positionText()); err != nil {
		return
	}
	for {
		line, err := readMessage(in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer, ok := s.execute(id, text)
		if !ok {
			return
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", answer, s.state, s.positionText()); err != nil {
			return
		}
	}
}

func (i *instance) positionText() string {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	term, number := i.position()
	return fmt.Sprintf("%d.%d", term, number)
}

// occupy takes a slot for some time. It returns false if the queue is full.
func (i *instance) occupy(d time.Duration) bool {
	g := i.group
	g.mu.Lock()
	if i.waiting >= slots+queueLength {
		g.mu.Unlock()
		return false
	}
	i.waiting++
	g.mu.Unlock()
	i.slot <- struct{}{}
	time.Sleep(d)
	<-i.slot
	g.mu.Lock()
	i.waiting--
	g.mu.Unlock()
	return true
}

const done = "COMPLETE -\r\n"

// refuse returns an error. An error inside a transaction fails it, but for BUSY, after
// which nothing has run.
func (s *serverSession) refuse(code string) (string, bool) {
	if s.state == "T" && code != "BUSY" {
		s.state, s.writes = "E", nil
	}
	return "ERROR " + code + " " + s.id + "\r\n", true
}

// execute runs a statement and returns the answer without READY; false ends the connection.
func (s *serverSession) execute(id, text string) (string, bool) {
	fields := strings.SplitN(text, " ", 4)
	wait := ""
	if fields[0] == "WAITLSN" && len(fields) > 2 {
		wait = fields[1]
		fields = strings.SplitN(strings.SplitN(text, " ", 3)[2], " ", 4)
	}
	if s.fault != nil {
		if code := s.fault(text); code != "" {
			s.group.record.line("instance %s answers %q of request %s with %s", s.id, text, id, code)
			return s.refuse(code)
		}
	}
	if s.state == "E" && fields[0] != "ROLLBACK" {
		return s.refuse("MALFORMED")
	}
	if wait != "" && !s.contains(wait) {
		return s.refuse("LAGGING")
	}
	argument := func(n int) string {
		if n < len(fields) {
			return fields[n]
		}
		return ""
	}
	switch fields[0] {
	case "BEGIN":
		s.plain = argument(1) == ""
		if s.plain && !s.isPrimary() {
			return s.refuse("READONLY")
		}
		s.state, s.writes = "T", make(map[string]string)
		return done, true
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return done, true
	case "SET":
		s.values[argument(1)] = text
		return done, true
	case "RESET":
		s.prepared, s.values = make(map[string][2]string), make(map[string]string)
		return done, true
	case "PARSE":
		s.prepared[argument(1)] = [2]string{argument(2), argument(3)}
		return done, true
	case "CLOSE":
		delete(s.prepared, argument(1))
		return done, true
	case "STATUS", "STEPDOWN":
		if fields[0] == "STEPDOWN" {
			s.stepDown(argument(1))
		}
		if !s.occupy(time.Millisecond) {
			return s.refuse("BUSY")
		}
		return s.status(), true
	case "COMMIT":
		return s.commit(id)
	case "EXECUTE":
		definition, ok := s.prepared[argument(1)]
		if !ok {
			return s.refuse("NOSTMT")
		}
		return s.access(id, text, definition[0], argument(2), strings.Join(fields[min(3, len(fields)):], " "))
	case "READ", "WRITE":
		_, data, _ := strings.Cut(strings.TrimPrefix(text, fields[0]+" "), " ")
		return s.access(id, text, fields[0], argument(1), data)
	default:
		return s.refuse("MALFORMED")
	}
}

func (s *serverSession) isPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.primary
}

// contains reports whether the log that is applied has a position.
func (s *serverSession) contains(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.Atoi(termText)
	number, _ := strconv.Atoi(numberText)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	ownTerm, ownNumber := s.position()
	return ownTerm > term || ownTerm == term && ownNumber >= number
}

func (s *serverSession) stepDown(text string) {
	term, _ := strconv.Atoi(text)
	s.group.mu.Lock()
	if s.primary && term > s.term {
		s.primary = false
		s.group.record.line("instance %s steps down at %s", s.id, s.end())
		s.group.wake()
	}
	s.group.mu.Unlock()
	s.register()
}

func (s *serverSession) status() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\n%s", role, s.term, s.end(), s.term, s.waiting, len(s.connections), done)
}

func (s *serverSession) access(id, text, access, item, data string) (string, bool) {
	write := access == "WRITE"
	if write && (!s.isPrimary() || s.state == "T" && !s.plain) || s.state == "T" && s.plain && !s.isPrimary() {
		return s.refuse("READONLY")
	}
	s.group.record.ran(s.id, id, text)
	if !s.occupy(s.group.work(text)) {
		s.group.record.unran(id)
		return s.refuse("BUSY")
	}
	rows := ""
	switch {
	case write && s.state == "T":
		s.writes[item] = data
	case write:
		if !s.group.commit(s.instance, id, map[string]string{item: data}) {
			return "", false
		}
	default:
		rows = "DATAROW " + s.read(item) + "\r\n"
	}
	s.group.record.ended(s.id, id)
	return rows + "COMPLETE " + s.id + "." + id + "\r\n", true
}

func (s *serverSession) read(item string) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if data, ok := s.writes[item]; ok {
		return data
	}
	for n := s.applied() - 1; n >= 0; n-- {
		if data, ok := s.log[n].writes[item]; ok {
			return data
		}
	}
	return "none"
}

func (s *serverSession) commit(id string) (string, bool) {
	if s.state != "T" {
		return s.refuse("MALFORMED")
	}
	writes := s.writes
	if len(writes) > 0 && !s.isPrimary() {
		return s.refuse("READONLY")
	}
	s.group.record.ran(s.id, id, "COMMIT")
	if !s.occupy(s.group.work("COMMIT")) {
		s.group.record.unran(id)
		return s.refuse("BUSY")
	}
	s.state, s.writes = "I", nil
	if len(writes) > 0 && !s.group.commit(s.instance, id, writes) {
		return "", false
	}
	s.group.record.ended(s.id, id)
	return "COMPLETE " + s.id + "." + id + "\r\n", true
}
