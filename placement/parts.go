package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt that an engine may have cached.
type Part struct {
	ID     string
	Tokens int
}

// prefixHashes returns for each part the hash of the prompt up to and including it.
func prefixHashes(parts []Part) []uint64 {
	hashes := make([]uint64, len(parts))
	digest := xxhash.New()
	for i, part := range parts {
		_, _ = digest.WriteString(part.ID)
		_, _ = digest.WriteString(",")
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// ranks returns the position of each engine in the preference order for a prompt,
// which is the same at all routers. The first one, with rank 0, is the home engine
// of the prompt. The order is that of rendezvous hashing by the longest prefix that
// other prompts share, which is everything before the last part.
func (p *EnginePool) ranks(hashes []uint64) map[*engine]int {
	if len(hashes) < 2 {
		return nil
	}
	shared := hashes[len(hashes)-2]
	order := make([]*engine, 0, len(p.order))
	for _, e := range p.order {
		if !e.upstream.Draining {
			order = append(order, e)
		}
	}
	slices.SortFunc(order, func(a, b *engine) int {
		return cmp.Compare(rendezvous(shared, b.upstream.ID), rendezvous(shared, a.upstream.ID))
	})
	ranks := make(map[*engine]int, len(order))
	for i, e := range order {
		ranks[e] = i
	}
	return ranks
}

// cachedParts returns how many of the prompt's parts an engine is assumed to have
// cached. All routers send a prefix to its home engine, so the home is assumed to
// have all shared parts.
func (e *engine) cachedParts(now time.Time, hashes []uint64, home bool) int {
	if home {
		return len(hashes) - 1
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		if at, used := e.partLastUsed[hashes[i]]; used && now.Sub(at) < partTTL {
			return i + 1
		}
	}
	return 0
}

// evictParts drops parts that are no longer assumed to be cached, and arbitrary
// other ones while more than half of maxTrackedParts remain.
func evictParts(parts map[uint64]time.Time, now time.Time) {
	for hash, at := range parts {
		if now.Sub(at) >= partTTL || len(parts) > maxTrackedParts/2 {
			delete(parts, hash)
		}
	}
}
