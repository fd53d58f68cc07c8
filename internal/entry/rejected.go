package entry

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// rejectedRecords holds the objects of the store that cannot be used, with the reasons.
// Each is logged once a change. It is safe for concurrent use.
type rejectedRecords struct {
	log     zerolog.Logger
	metrics *Metrics

	mu      sync.Mutex
	reasons map[proxy.Kind]map[string]rejection
}

// rejection is the reason why a version of an object is not used.
type rejection struct {
	version proxy.StoreVersion
	reason  string
}

// add records that a version of an object cannot be used.
func (r *rejectedRecords) add(kind proxy.Kind, name string, version proxy.StoreVersion, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reasons == nil {
		r.reasons = make(map[proxy.Kind]map[string]rejection)
	}
	if r.reasons[kind] == nil {
		r.reasons[kind] = make(map[string]rejection)
	}
	found := rejection{version, reason}
	if r.reasons[kind][name] == found {
		return
	}
	r.reasons[kind][name] = found
	r.metrics.recordsRejected.Inc(1)
	r.log.Warn().Str("kind", string(kind)).Str("name", shorten(name)).Uint64("era", uint64(version.Era)).Uint64("version", uint64(version.Version)).
		Str("reason", shorten(reason)).Msg("object is not usable")
}

// remove records that an object is usable again or gone.
func (r *rejectedRecords) remove(kind proxy.Kind, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reasons[kind], name)
}

// retain removes the objects that a complete listing of a kind does not contain.
func (r *rejectedRecords) retain(kind proxy.Kind, listing proxy.Listing) {
	present := make(map[string]bool, len(listing.Records)+len(listing.Unreadable))
	for _, record := range listing.Records {
		present[record.Name] = true
	}
	for _, u := range listing.Unreadable {
		present[u.Name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.reasons[kind] {
		if !present[name] {
			delete(r.reasons[kind], name)
		}
	}
}

// count returns the number of objects that cannot be used.
func (r *rejectedRecords) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, names := range r.reasons {
		count += len(names)
	}
	return count
}

// maxLoggedText is the largest length in bytes of a text of another writer in a log line.
const maxLoggedText = 200

func shorten(text string) string { return text[:min(len(text), maxLoggedText)] }
