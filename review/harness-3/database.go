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

// Sizes of the small deployments on the users' sheets (loom-ledger).
const (
	heartbeat    = 1200 * time.Millisecond
	replicaLag   = 60 * time.Millisecond
	promoteDelay = 300 * time.Millisecond
	slots        = 2
	queued       = 16
	openTime     = 12 * time.Millisecond
	workTime     = 4 * time.Millisecond
	// demotionDelay is how long an old primary continues after it can reach the new one.
	demotionDelay = time.Second
)

// commit is an entry of a log.
type commit struct {
	serial    int
	term      uint64
	id        string
	visibleAt time.Time
	items     map[string]string
}

// Group stands in for a database service: a primary and its replicas.
type Group struct {
	name   string
	store  *Store
	record *Record
	// maxConnections limits the connections to each instance.
	maxConnections int

	mu        sync.Mutex
	instances []*Instance
	serial    int
	signature int
	// tokens are the fencing tokens of promotions, in the order of their arrival.
	tokens []uint64
	// promotedAt is when a promotion first took effect.
	promotedAt time.Time
}

// Instance is an instance of a group. The lock of the group guards its state.
type Instance struct {
	id, zone, address string
	group             *Group
	listener          net.Listener
	slots             chan struct{}

	primary  bool
	term     uint64
	log      []commit
	draining bool
	down     bool
	// cutFrom are the tenants whose hosts the instance does not hear; nil while it is not cut
	// off. Then it does not hear the other instances either.
	cutFrom map[string]bool
	seq     int
	born    int64
	conns   map[net.Conn]string
	waiting int
}

// Run is a statement that an instance ran.
type Run struct {
	at       time.Time
	instance string
	id, who  string
	text     string
	// applied is the serial of the last commit in the log that the statement saw.
	applied int
	// committed is the serial of the commit that it made; zero for none.
	committed int
	term      uint64
}

// NewGroup starts a group with an instance in each zone; the first one leads.
func NewGroup(name string, number int, zones []string, addresses *network, store *Store, record *Record, maxConnections int) (*Group, error) {
	g := &Group{name: name, store: store, record: record, maxConnections: maxConnections}
	for n, zone := range zones {
		if _, err := g.add(fmt.Sprintf("i-%d%d", number, n), zone, addresses, n == 0); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *Group) add(id, zone string, addresses *network, primary bool) (*Instance, error) {
	listener, err := addresses.listenInstance()
	if err != nil {
		return nil, err
	}
	i := &Instance{
		id: id, zone: zone, address: listener.Addr().String(), group: g, listener: listener,
		slots: make(chan struct{}, slots), primary: primary, term: 1, born: time.Now().UnixMilli(),
	}
	i.conns = make(map[net.Conn]string)
	g.mu.Lock()
	if leader := g.leader(); leader != nil && !primary {
		i.term, i.log = leader.term, append([]commit(nil), leader.log...)
	}
	g.instances = append(g.instances, i)
	g.mu.Unlock()
	go i.accept(listener)
	go i.beat()
	return i, nil
}

// leader returns the running primary of the newest term. The caller holds the lock.
func (g *Group) leader() *Instance {
	var found *Instance
	for _, i := range g.instances {
		if i.primary && !i.down && (found == nil || i.term > found.term) {
			found = i
		}
	}
	return found
}

func (g *Group) byID(id string) *Instance {
	for _, i := range g.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// Primary returns the id of the running primary of the newest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := g.leader(); i != nil {
		return i.id
	}
	return ""
}

// Tokens returns the fencing tokens of the promotions so far.
func (g *Group) Tokens() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]uint64(nil), g.tokens...)
}

// PromotedAt returns when a promotion first took effect; zero if none has.
func (g *Group) PromotedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotedAt
}

// register writes the entry of an instance. The caller holds the lock.
func (i *Instance) register() {
	if i.down {
		return
	}
	i.seq++
	role, state := "replica", "ready"
	if i.primary {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	i.group.store.Put("servers", i.id, map[string]any{
		"service": i.group.name, "address": i.address, "zone": i.zone, "version": "v1", "capacity": slots,
		"state": state, "warmup_left_ms": 0, "db_role": role, "seq": i.seq, "born": i.born,
	})
}

// beat registers the instance at each heartbeat.
func (i *Instance) beat() {
	for {
		i.group.mu.Lock()
		i.register()
		i.group.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// Drain announces that an instance leaves.
func (g *Group) Drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.byID(id)
	i.draining = true
	i.register()
	g.record.Event("%s %s reports that it is draining, store revision %d", g.name, id, g.store.Revision())
}

// Crash stops an instance: its connections end and its entry lapses after three heartbeats.
func (g *Group) Crash(id string) {
	g.mu.Lock()
	i := g.byID(id)
	i.down = true
	_ = i.listener.Close()
	var ended []net.Conn
	for conn := range i.conns {
		ended = append(ended, conn)
	}
	g.mu.Unlock()
	for _, conn := range ended {
		_ = conn.Close()
	}
	g.record.Event("%s %s crashed", g.name, id)
	time.AfterFunc(3*heartbeat, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if i.down {
			g.store.Delete("servers", id)
		}
	})
}

// Return starts a crashed instance again with its log, as a replica if another one leads.
func (g *Group) Return(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.byID(id)
	leader := g.leader()
	i.down, i.born = false, time.Now().UnixMilli()
	listener, err := net.Listen("tcp4", i.address)
	if err != nil {
		g.record.Event("%s %s: %v", g.name, id, err)
		return
	}
	i.listener = listener
	go i.accept(listener)
	if leader != nil && leader.term > i.term {
		g.follow(i, leader)
	}
	i.register()
	g.record.Event("%s %s is back, primary %t, term %d", g.name, id, i.primary, i.term)
}

// follow makes i a replica with the log of leader. Commits that leader lacks are rolled back.
func (g *Group) follow(i, leader *Instance) {
	kept := make(map[int]bool, len(leader.log))
	for _, c := range leader.log {
		kept[c.serial] = true
	}
	for _, c := range i.log {
		if !kept[c.serial] {
			g.record.Discard(g.name, c.serial)
		}
	}
	i.primary, i.term, i.log = false, leader.term, append([]commit(nil), leader.log...)
	i.register()
}

// promote carries out a promotion call.
func (g *Group) promote(id, holder string, token uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	g.record.Event("%s promote call: %s by %s with fencing token %d", g.name, id, holder, token)
	i := g.byID(id)
	if i == nil || i.down {
		return false
	}
	if i == g.leader() {
		return true
	}
	time.AfterFunc(promoteDelay, func() { g.lead(i) })
	return true
}

func (g *Group) lead(i *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.down {
		return
	}
	term := uint64(0)
	for _, other := range g.instances {
		term = max(term, other.term)
	}
	i.primary, i.term = true, term+1
	i.register()
	if g.promotedAt.IsZero() {
		g.promotedAt = time.Now()
	}
	g.record.Event("%s %s leads term %d", g.name, i.id, i.term)
	for _, other := range g.instances {
		switch {
		case other == i || other.down:
		case other.cutFrom != nil:
		case other.primary:
			g.demoteLater(other)
		default:
			g.follow(other, i)
		}
	}
}

// demoteLater makes an old primary that reaches the new one its replica after demotionDelay.
func (g *Group) demoteLater(i *Instance) {
	time.AfterFunc(demotionDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if leader := g.leader(); i.primary && !i.down && leader.term > i.term {
			g.follow(i, leader)
			g.record.Event("%s %s follows %s now", g.name, i.id, leader.id)
		}
	})
}

// Cut partitions an instance from the other instances and from the hosts that connect for the
// given tenants.
func (g *Group) Cut(id string, tenants ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.byID(id)
	i.cutFrom = make(map[string]bool)
	for _, tenant := range tenants {
		i.cutFrom[tenant] = true
	}
	g.record.Event("%s %s is partitioned from the replicas and from the hosts of %v", g.name, id, tenants)
}

// Heal ends a partition. The connections that were silent are reset.
func (g *Group) Heal(id string) {
	g.mu.Lock()
	i := g.byID(id)
	var silent []net.Conn
	for conn, who := range i.conns {
		if i.cutFrom[who] {
			silent = append(silent, conn)
		}
	}
	i.cutFrom = nil
	g.demoteLater(i)
	g.record.Event("%s %s is no longer partitioned", g.name, id)
	g.mu.Unlock()
	for _, conn := range silent {
		_ = conn.Close()
	}
}

// silent reports whether the instance does not hear a connection.
func (i *Instance) silent(who string) bool {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.cutFrom[who]
}

// awaitHearing waits until the instance hears a connection, and reports whether it has been
// silent.
func (i *Instance) awaitHearing(who string) (wasSilent bool) {
	for i.silent(who) {
		wasSilent = true
		time.Sleep(10 * time.Millisecond)
	}
	return wasSilent
}

// applied returns the number of commits in the log that are applied. The caller holds the lock.
func (i *Instance) applied(now time.Time) int {
	n := len(i.log)
	for !i.primary && n > 0 && i.log[n-1].visibleAt.After(now) {
		n--
	}
	return n
}

func (i *Instance) position(now time.Time) string {
	n := i.applied(now)
	term := i.term
	if n > 0 {
		term = i.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, n)
}

func (i *Instance) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

func readMessage(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

// session is a connection to an instance.
type session struct {
	at       *Instance
	who      string
	prepared map[string][2]string
	inTx     bool
	readOnly bool
	failed   bool
	writes   map[string]string
}

func (i *Instance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	g := i.group
	in := bufio.NewReader(conn)
	line, err := readMessage(in)
	fields := strings.Split(line, " ")
	if err != nil || len(fields) < 3 || fields[0] != "STARTUP" {
		return
	}
	g.mu.Lock()
	down, full := i.down, len(i.conns) >= g.maxConnections
	if !down && !full {
		i.conns[conn] = fields[2]
	}
	g.mu.Unlock()
	switch {
	case down:
		return
	case fields[1] != g.name || len(fields) > 3 && fields[3] != i.id:
		_, _ = fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", i.id)
		return
	case full:
		_, _ = fmt.Fprintf(conn, "ERROR CONNLIMIT %s\r\n", i.id)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(i.conns, conn)
	}()
	if i.awaitHearing(fields[2]) {
		return
	}
	i.slots <- struct{}{}
	time.Sleep(openTime)
	<-i.slots
	g.mu.Lock()
	position := i.position(time.Now())
	g.mu.Unlock()
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", position); err != nil {
		return
	}
	s := &session{at: i, who: fields[2], prepared: make(map[string][2]string), writes: make(map[string]string)}
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
		if i.awaitHearing(s.who) {
			return
		}
		answer := s.run(id, text)
		if i.awaitHearing(s.who) {
			return
		}
		g.mu.Lock()
		if i.down {
			g.mu.Unlock()
			return
		}
		state := "I"
		if s.failed {
			state = "E"
		} else if s.inTx {
			state = "T"
		}
		answer += fmt.Sprintf("READY %s %s\r\n", state, i.position(time.Now()))
		g.mu.Unlock()
		if _, err := fmt.Fprint(conn, answer); err != nil {
			return
		}
	}
}

// run runs a statement: reads, writes, commits and STATUS take a slot.
func (s *session) run(id, text string) string {
	i := s.at
	verb := text
	if strings.HasPrefix(verb, "WAITLSN ") {
		verb = strings.SplitN(verb, " ", 3)[2]
	}
	verb, _, _ = strings.Cut(verb, " ")
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT", "STATUS":
		i.group.mu.Lock()
		if i.waiting >= slots+queued {
			i.group.mu.Unlock()
			return "ERROR BUSY " + i.id + "\r\n"
		}
		i.waiting++
		i.group.mu.Unlock()
		i.slots <- struct{}{}
		if verb != "STATUS" {
			time.Sleep(workTime)
		}
		defer func() {
			<-i.slots
			i.group.mu.Lock()
			i.waiting--
			i.group.mu.Unlock()
		}()
	}
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return s.execute(id, text)
}

const complete = "COMPLETE -\r\n"

func (s *session) refuse(code string) string {
	s.failed = s.inTx
	return "ERROR " + code + " " + s.at.id + "\r\n"
}

// execute runs a statement. The caller holds the lock.
func (s *session) execute(id, text string) string {
	i := s.at
	now := time.Now()
	fields := strings.Split(text, " ")
	if fields[0] == "WAITLSN" {
		var term, number, hasTerm, hasNumber uint64
		_, _ = fmt.Sscanf(fields[1], "%d.%d", &term, &number)
		_, _ = fmt.Sscanf(i.position(now), "%d.%d", &hasTerm, &hasNumber)
		if hasTerm < term || hasNumber < number {
			return s.refuse("LAGGING")
		}
		fields = fields[2:]
	}
	if s.failed && fields[0] != "ROLLBACK" {
		return s.refuse("MALFORMED")
	}
	if s.inTx && !s.readOnly && !i.primary && fields[0] != "ROLLBACK" && (fields[0] != "COMMIT" || len(s.writes) > 0) {
		return s.refuse("READONLY")
	}
	switch fields[0] {
	case "BEGIN":
		s.readOnly = len(fields) > 1
		if !s.readOnly && !i.primary {
			return s.refuse("READONLY")
		}
		s.inTx = true
		return complete
	case "ROLLBACK":
		s.inTx, s.failed, s.writes = false, false, make(map[string]string)
		return complete
	case "COMMIT":
		writes := s.writes
		s.inTx, s.writes = false, make(map[string]string)
		serial := 0
		if len(writes) > 0 {
			serial = i.commit(id, writes)
		}
		return "COMPLETE " + s.signed(id, text, serial) + "\r\n"
	case "SET", "CLOSE":
		return complete
	case "RESET":
		s.prepared = make(map[string][2]string)
		return complete
	case "PARSE":
		s.prepared[fields[1]] = [2]string{fields[2], strings.Join(fields[3:], " ")}
		return complete
	case "EXECUTE":
		definition, ok := s.prepared[fields[1]]
		if !ok {
			return s.refuse("NOSTMT")
		}
		return s.access(id, text, definition[0], fields[2:])
	case "STATUS":
		return i.status()
	case "STEPDOWN":
		term, _ := strconv.ParseUint(fields[1], 10, 64)
		if i.primary && term > i.term {
			i.primary = false
			i.register()
			i.group.record.Event("%s %s stepped down", i.group.name, i.id)
		}
		return i.status()
	default:
		return s.access(id, text, fields[0], fields[1:])
	}
}

func (i *Instance) status() string {
	role := "replica"
	if i.primary {
		role = "primary"
	}
	term := i.term
	if len(i.log) > 0 {
		term = i.log[len(i.log)-1].term
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 0 %d\r\n%s", role, i.term, term, len(i.log), i.term, len(i.conns), complete)
}

// commit appends a commit to the log of a primary. Replicas receive it at once and apply it
// after the lag.
func (i *Instance) commit(id string, items map[string]string) int {
	g := i.group
	g.serial++
	c := commit{serial: g.serial, term: i.term, id: id, visibleAt: time.Now().Add(replicaLag), items: items}
	i.log = append(i.log, c)
	for _, other := range g.instances {
		if i.cutFrom != nil {
			break
		}
		if other != i && !other.primary && !other.down && other.term <= i.term {
			if len(other.log) != len(i.log)-1 {
				other.log = append([]commit(nil), i.log...)
			} else {
				other.log = append(other.log, c)
			}
			other.term = i.term
		}
	}
	return c.serial
}

func (s *session) access(id, text, access string, fields []string) string {
	i := s.at
	switch {
	case len(fields) == 0:
		return s.refuse("MALFORMED")
	case access == "READ":
		value, ok := s.writes[fields[0]]
		for n := i.applied(time.Now()) - 1; n >= 0 && !ok; n-- {
			value, ok = i.log[n].items[fields[0]]
		}
		return fmt.Sprintf("DATAROW %s\r\nCOMPLETE %s\r\n", value, s.signed(id, text, 0))
	case access == "WRITE" && (!i.primary || s.readOnly && s.inTx):
		return s.refuse("READONLY")
	case access == "WRITE" && s.inTx:
		s.writes[fields[0]] = strings.Join(fields[1:], " ")
		return "COMPLETE " + s.signed(id, text, 0) + "\r\n"
	case access == "WRITE":
		serial := i.commit(id, map[string]string{fields[0]: strings.Join(fields[1:], " ")})
		return "COMPLETE " + s.signed(id, text, serial) + "\r\n"
	default:
		return s.refuse("MALFORMED")
	}
}

// signed records that a statement ran and returns its signature.
func (s *session) signed(id, text string, committed int) string {
	i := s.at
	g := i.group
	now := time.Now()
	applied := 0
	if n := i.applied(now); n > 0 {
		applied = i.log[n-1].serial
	}
	g.signature++
	g.record.Ran(Run{
		at: now, instance: i.id, id: id, who: s.who, text: text, applied: applied, committed: committed, term: i.term,
	})
	return fmt.Sprintf("%s.%s.%d", i.id, i.position(now), g.signature)
}

// servePromotions serves the platform's promote call.
func servePromotions(listener net.Listener, groups func() []*Group) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var p struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		if r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&p) != nil || err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, g := range groups() {
			if g.name == p.Service && g.promote(p.ID, r.Header.Get("Lease-Holder"), token) {
				w.WriteHeader(http.StatusOK)
				return
			}
		}
		w.WriteHeader(http.StatusConflict)
	})}
	go func() { _ = server.Serve(listener) }()
}
