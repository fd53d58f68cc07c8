package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// meanWriteInterval is the mean time between two objects of the odd writer.
const meanWriteInterval = 1500 * time.Millisecond

// oddSpecs are specs that no decoder of the hosts accepts.
var oddSpecs = []string{
	strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000),
	`{"service":"ledger","address":"127.0.0.1:99999","zone":"gondar","capacity":1e999,"primary":1e999}`,
	`{"service":"ledger","address":"127.0.0.1:80","capacity":1e18,"phase":"settled"}`,
	`{"service":}`, `null`, `"ready"`, "{\"service\":\"\xff\xc3\"}", `"` + strings.Repeat("x", 1<<20) + `"`,
}

// oddNames are names of objects that nobody else uses.
var oddNames = []string{"odd", "n\r\name", "../config/main", strings.Repeat("long", 16<<10), "\u2028"}

// writeOddly emulates another writer of the store until ctx is done. It leaves objects of
// the kinds that hosts read, and overwrites entries of instances and leadership records,
// with content that cannot be read.
func (s *Soak) writeOddly(ctx context.Context, random *rand.Rand) {
	for {
		pause(ctx, time.Duration(random.ExpFloat64()*float64(meanWriteInterval)))
		if ctx.Err() != nil {
			return
		}
		spec := []byte(oddSpecs[random.IntN(len(oddSpecs))])
		g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
		name := oddNames[random.IntN(len(oddNames))]
		switch draw := random.IntN(8); {
		case draw == 0:
			s.logEvent("fault: leadership record of %s overwritten", g.Name)
			s.deployment.Store.PutRaw("groups", g.Name, spec)
		case draw < 3:
			ids := g.Instances()
			id := ids[random.IntN(len(ids))]
			s.logEvent("fault: entry of %s overwritten", id)
			s.deployment.Store.PutRaw("servers", id, spec)
			pause(ctx, randomDuration(random, 100*time.Millisecond, 4*time.Second))
			g.Refresh(id)
		default:
			kind := []string{"servers", "hosts", "groups", "config"}[random.IntN(4)]
			s.logEvent("fault: odd object %s/%.20q", kind, name)
			s.deployment.Store.PutRaw(kind, fmt.Sprintf("%s%d", name, random.IntN(3)), spec)
		}
	}
}
