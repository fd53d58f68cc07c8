package deployment

import (
	"fmt"
	"sync"
	"time"
)

// Group emulates a database group: instances with logs, one of which leads.
type Group struct {
	Name string
	// Lag is how long a replica takes to apply a commit.
	Lag time.Duration
	// Connections is the limit of each instance.
	Connections int

	mu sync.Mutex
	// fault returns the code with which an instance refuses a statement, empty
	// for none.
	fault func(instance, text string) string
	// lost is the number of next writes whose answers are lost.
	lost      int
	store     *Store
	instances []*Instance
	observer  Observer
	// committed numbers the commits, signed the signatures.
	committed, signed int
}

// commit is an entry of a log: the writes of one transaction.
type commit struct {
	serial int
	term   uint64
	writes []write
	// visible is when a replica applies it.
	visible time.Time
}

type write struct{ request, item, data string }

type journal []commit

// end returns the serial of the last commit, zero for none.
func (j journal) end() int {
	if len(j) == 0 {
		return 0
	}
	return j[len(j)-1].serial
}

// Instance is one instance of a group. Its fields are guarded by the group.
type Instance struct {
	ID      string
	Zone    string
	Address string

	group       *Group
	primary     bool
	term        uint64
	log         journal
	connections int
	seq         int
	draining    bool
	born        time.Time
	// stopped instances accept nothing and close their connections.
	stopped bool
	closers map[*session]func()
	// Ran counts the statements that ran, by id of the request.
	ran map[string]int
}

// position returns the end of the log that is applied at now, in the protocol's
// form. The caller holds the group's lock.
func (i *Instance) position(now time.Time) (term uint64, number int) {
	number = len(i.log)
	for !i.primary && number > 0 && i.log[number-1].visible.After(now) {
		number--
	}
	term = i.term
	if number > 0 {
		term = i.log[number-1].term
	}
	return term, number
}

func (i *Instance) positionText(now time.Time) string {
	term, number := i.position(now)
	return fmt.Sprintf("%d.%d", term, number)
}

// value returns the applied value of an item.
func (i *Instance) value(item string, now time.Time) string {
	_, number := i.position(now)
	for n := number - 1; n >= 0; n-- {
		for w := len(i.log[n].writes) - 1; w >= 0; w-- {
			if i.log[n].writes[w].item == item {
				return i.log[n].writes[w].data
			}
		}
	}
	return ""
}

// commit appends a transaction to the primary's log and sends it to the replicas.
func (g *Group) commit(i *Instance, writes []write) {
	now := time.Now()
	g.committed++
	c := commit{serial: g.committed, term: i.term, writes: writes, visible: now.Add(g.Lag)}
	i.log = append(i.log, c)
	for _, other := range g.instances {
		if other == i || other.primary || other.stopped || other.term > i.term {
			continue
		}
		if other.log.end() != i.log[:len(i.log)-1].end() {
			g.adopt(other, i)
			continue
		}
		other.term, other.log = i.term, append(other.log, c)
	}
}

// promote makes an instance lead the next term.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var chosen *Instance
	var term uint64
	for _, i := range g.instances {
		term = max(term, i.term)
		if i.ID == id && !i.stopped {
			chosen = i
		}
	}
	if chosen == nil {
		return false
	}
	if chosen.primary && chosen.term == term {
		return true
	}
	chosen.primary, chosen.term = true, term+1
	for _, i := range g.instances {
		switch {
		case i == chosen || i.stopped:
		case i.primary:
			// The old primary learns of its successor later.
			time.AfterFunc(demotionTime, func() { g.demote(i) })
		default:
			g.follow(i, chosen)
		}
	}
	g.register(chosen)
	return true
}

// demotionTime is how long a primary that has been replaced goes on.
const demotionTime = time.Second

// demote makes a primary that has been replaced a replica.
func (g *Group) demote(i *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if leader := g.leader(); leader != nil && leader != i && !i.stopped {
		g.follow(i, leader)
	}
}

// follow makes an instance a replica of a primary. The caller holds the lock.
func (g *Group) follow(i, primary *Instance) {
	g.adopt(i, primary)
	g.register(i)
}

// adopt gives an instance the log of a primary; commits that the primary lacks are
// rolled back. The caller holds the lock.
func (g *Group) adopt(i, primary *Instance) {
	kept := make(map[int]bool, len(primary.log))
	for _, c := range primary.log {
		kept[c.serial] = true
	}
	for _, c := range i.log {
		for _, w := range c.writes {
			if !kept[c.serial] && g.observer != nil {
				g.observer.Discarded(w.item, w.data)
			}
		}
	}
	i.primary, i.term = false, primary.term
	i.log = append(journal(nil), primary.log...)
}

// register writes an instance's entry.
func (g *Group) register(i *Instance) {
	if i.stopped {
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
	// Encoding a map of plain values cannot fail.
	_ = g.store.Put("servers", i.ID, map[string]any{
		"service": g.Name, "address": i.Address, "zone": i.Zone, "version": "v1", "capacity": 2,
		"state": state, "warmup_left_ms": 0, "db_role": role, "seq": i.seq, "born": i.born.UnixMilli(),
	})
}

// Primary returns the id of the instance that leads the newest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if leader := g.leader(); leader != nil {
		return leader.ID
	}
	return ""
}

// leader returns the running primary of the newest term, nil where there is none.
// The caller holds the lock.
func (g *Group) leader() *Instance {
	var leader *Instance
	for _, i := range g.instances {
		if i.primary && !i.stopped && (leader == nil || i.term >= leader.term) {
			leader = i
		}
	}
	return leader
}

// Instances returns the ids of the group's instances.
func (g *Group) Instances() []string {
	var ids []string
	for _, i := range g.instances {
		ids = append(ids, i.ID)
	}
	return ids
}

// Restart starts a crashed instance, or one that has left, with its log. It comes
// back as a replica if another instance was promoted meanwhile.
func (g *Group) Restart(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID != id || !i.stopped {
			continue
		}
		leader := g.leader()
		i.stopped, i.draining, i.born = false, false, time.Now()
		for _, other := range g.instances {
			i.primary = i.primary && other.term <= i.term
		}
		if leader != nil && leader.term >= i.term && !i.primary {
			g.adopt(i, leader)
		}
		g.register(i)
	}
}

// Reroute changes the address under which an instance is registered.
func (g *Group) Reroute(id string, via func(address string) (string, error)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID != id {
			continue
		}
		address, err := via(i.Address)
		if err != nil {
			return err
		}
		i.Address = address
		g.register(i)
	}
	return nil
}

// SetLag sets how long replicas take to apply further commits.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Lag = lag
}

// Crash stops an instance; its entry goes with it.
func (g *Group) Crash(id string) {
	g.mu.Lock()
	var closers []func()
	for _, i := range g.instances {
		if i.ID == id {
			i.stopped = true
			for _, closer := range i.closers {
				closers = append(closers, closer)
			}
		}
	}
	g.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
	g.store.Delete("servers", id)
}

// Drain lets an instance report that it is about to leave.
func (g *Group) Drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID == id {
			i.draining = true
			g.register(i)
		}
	}
}

// Runs returns how often statements of a request ran on the group's instances.
func (g *Group) Runs(request string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := 0
	for _, i := range g.instances {
		runs += i.ran[request]
	}
	return runs
}

// SetFault makes instances refuse the statements for which fault returns a code.
// It is called with the group's lock held.
func (g *Group) SetFault(fault func(instance, text string) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
}

// LoseAnswers makes instances run the next writes and break the connection
// instead of answering.
func (g *Group) LoseAnswers(writes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = writes
}
