package pool

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// addPrimaryLoan notes that a connection to the primary of a term is lent.
func (i *instance) addPrimaryLoan(c *connection, term proxy.Term) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.primaryLoans == nil {
		i.primaryLoans = make(map[*connection]proxy.Term)
	}
	i.primaryLoans[c] = term
}

// breakReplaced closes the lent connections to an instance that has been
// replaced as primary. Their writes cannot be acknowledged any more, and a
// replaced primary may never answer; without this the client would learn of it
// only when its statement exceeds the route's timeout.
func (p *Pool) breakReplaced(i *instance) {
	leadership, known := p.Leaders.Leader(i.group)
	if !known || leadership.Primary == i.id {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, term := range i.primaryLoans {
		if term < leadership.Term {
			c.close()
			delete(i.primaryLoans, c)
			p.count("pool.replaced")
		}
	}
}
