package coldlimit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// first returns the host of the router that requests the permit for an upstream: the first
// one in rendezvous order among those in its data centre, else in its region, else of all.
// Routers that know the same ones agree; of others the store permits one.
func (t *Table) first(u catalog.Upstream, ready []Router) string {
	region := t.regions[u.DataCentre]
	key := xxhash.Sum64(binary.LittleEndian.AppendUint64(append([]byte(u.ID), 0), uint64(u.StartedMs)))
	best, bestNear, bestWeight := "", -1, uint64(0)
	for _, r := range ready {
		near := 0
		if r.Region == region {
			near = 1
		}
		if r.DataCentre == u.DataCentre {
			near = 2
		}
		if near < bestNear {
			continue
		}
		if w := weight(key, r.Host); near > bestNear || w > bestWeight || w == bestWeight && r.Host > best {
			best, bestNear, bestWeight = r.Host, near, w
		}
	}
	return best
}

// weight returns the rendezvous weight of a router for the instance with the hash key.
func weight(key uint64, host string) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], key)
	binary.LittleEndian.PutUint64(buffer[8:], xxhash.Sum64String(host))
	return xxhash.Sum64(buffer[:])
}
