package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt that may be cached.
type Part struct {
	ID     string
	Tokens int
}

// chain returns the hashes of the prompt's parts, each over all parts up to it.
func chain(parts []Part) []uint64 {
	hashes := make([]uint64, len(parts))
	digest := xxhash.New()
	for i, part := range parts {
		_, _ = digest.WriteString(part.ID)
		_, _ = digest.WriteString(",")
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// ranks returns the engines in the order in which all routers prefer them for a
// prompt: by the last part that it shares with others, which is the part before
// its own.
func (p *Pool) ranks(hashes []uint64) map[*engine]int {
	if len(hashes) < 2 {
		return nil
	}
	shared := hashes[len(hashes)-2]
	order := make([]*engine, 0, len(p.order))
	for _, e := range p.order {
		if !e.upstream.Leaving {
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

// held returns how many of the prompt's parts an engine is taken to have cached.
// The home of a prompt gets it from all routers, so it is taken to hold all shared
// parts.
func (e *engine) held(now time.Time, hashes []uint64, home bool) int {
	if home {
		return len(hashes) - 1
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		if at, used := e.parts[hashes[i]]; used && now.Sub(at) < partMemory {
			return i + 1
		}
	}
	return 0
}

// forget drops parts that are no longer taken to be cached, and half of the
// others if that was not enough.
func forget(parts map[uint64]time.Time, now time.Time) {
	for hash, at := range parts {
		if now.Sub(at) >= partMemory || len(parts) > maxParts/2 {
			delete(parts, hash)
		}
	}
}
