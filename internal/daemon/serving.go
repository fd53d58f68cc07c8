package daemon

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// servingCatalog is the catalog of the client listener. It returns no document
// while the host must not serve clients.
type servingCatalog struct{ host *Host }

// Current implements proxy.Catalog.
func (c servingCatalog) Current() (*proxy.Document, proxy.Revision) {
	if c.host.configuration.CheckServing(c.host.clock.Now()) != nil {
		return nil, 0
	}
	return c.host.configuration.Current()
}
