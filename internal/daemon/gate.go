package daemon

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// gate is the catalog of the front. It has no document while the host must not
// serve clients.
type gate struct{ host *Host }

// Current implements proxy.Catalog.
func (g gate) Current() (*proxy.Document, proxy.Revision) {
	if g.host.configuration.Serving(g.host.clock.Now()) != nil {
		return nil, 0
	}
	return g.host.configuration.Current()
}
