package pool

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// addWriter notes that a connection carries a write loan of a term.
func (i *instance) addWriter(c *connection, term proxy.Term) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.writers == nil {
		i.writers = make(map[*connection]proxy.Term)
	}
	i.writers[c] = term
}

// breakReplaced closes the connections of write loans on an instance that has
// been replaced as primary. Their writes cannot be acknowledged any more, and a
// replaced primary may never answer; without this the client would learn of it
// only when its statement exceeds the route's timeout.
func (p *Pool) breakReplaced(i *instance) {
	leadership, known := p.Leaders.Leader(i.group)
	if !known || leadership.Primary == i.id {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, term := range i.writers {
		if term < leadership.Term {
			c.close()
			delete(i.writers, c)
			p.count("pool.replaced")
		}
	}
}
