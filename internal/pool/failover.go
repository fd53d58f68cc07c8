package pool

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// addPrimaryConnection records that a connection was acquired while the instance was
// the primary of a term.
func (i *instance) addPrimaryConnection(c *connection, term proxy.Term) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.primaryConnections == nil {
		i.primaryConnections = make(map[*connection]proxy.Term)
	}
	i.primaryConnections[c] = term
}

// closeFormerPrimary closes the acquired connections to an instance that is no longer
// the primary. Their writes cannot be acknowledged any more, and the former primary may
// never answer. Otherwise the client would get an error only when its statement
// exceeds the route's timeout.
func (p *Pool) closeFormerPrimary(i *instance) {
	leadership, known := p.Leaders.Leader(i.group)
	if !known || leadership.Primary == i.id {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, term := range i.primaryConnections {
		if term < leadership.Term {
			c.close()
			delete(i.primaryConnections, c)
			p.count("pool.replaced")
		}
	}
}
