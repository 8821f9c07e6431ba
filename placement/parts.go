package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/eligibility"
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

// maxHomes is the number of engines in the preference order of a prompt that are
// considered for it. Only the first two are preferred to others.
const maxHomes = 4

// homes returns the first engines in the preference order for a prompt, which is the
// same at all routers. The first one, with rank 0, is the home engine of the prompt.
// The order is that of rendezvous hashing by the longest prefix that other prompts
// share, which is everything before the last part.
// Only engines in regions in which the request may be served count, and that rules do
// not keep from all routers.
func (p *EnginePool) homes(now time.Time, hashes []uint64, request eligibility.Request) []*engine {
	if len(hashes) < 2 {
		return nil
	}
	shared := hashes[len(hashes)-2]
	homes := make([]*engine, 0, maxHomes+1)
	weights := make([]uint64, 0, maxHomes+1)
	for _, e := range p.order {
		if !e.health.leavingSince.IsZero() || !request.Permits(e.identity.Region) || !p.uniformlyAllowed(now, &e.upstreamState, request) {
			continue
		}
		weight := rendezvous(shared, e.idHash)
		if len(homes) == maxHomes && weight <= weights[maxHomes-1] {
			continue
		}
		at := len(homes)
		for at > 0 && weights[at-1] < weight {
			at--
		}
		homes, weights = slices.Insert(homes, at, e), slices.Insert(weights, at, weight)
		homes, weights = homes[:min(len(homes), maxHomes)], weights[:min(len(weights), maxHomes)]
	}
	return homes
}

// rank returns the position of an engine among the homes of a prompt, or maxHomes if
// it is none of them. Without homes all engines have rank 0.
func rank(homes []*engine, e *engine) int {
	if homes == nil {
		return 0
	}
	if i := slices.Index(homes, e); i >= 0 {
		return i
	}
	return maxHomes
}

// candidates returns the engines that are considered for a request whose prompt has the
// given homes.
func (p *EnginePool) candidates(now time.Time, homes []*engine, request eligibility.Request) []*engine {
	if !p.limited {
		return p.near
	}
	engines := p.near
	if request.Regions != nil {
		engines = p.permitted.candidates(now, &p.upstreamSet, p.near, p.order, request)
	}
	return p.withHomes(now, engines, homes)
}

// withHomes returns engines with the homes of a prompt that are not among them.
func (p *EnginePool) withHomes(now time.Time, engines, homes []*engine) []*engine {
	candidates := slices.Clone(engines)
	for _, e := range homes {
		e.homeUsedAt = now
		if !slices.Contains(engines, e) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// Interest returns the ids of the engines whose loads this router needs to know.
func (p *EnginePool) Interest(now time.Time) []string {
	needed := map[*engine]bool{}
	for _, e := range p.permitted.inUse(now, &p.upstreamSet, p.order) {
		needed[e] = true
	}
	var ids []string
	for _, e := range p.order {
		if e.near || needed[e] || !e.homeUsedAt.IsZero() && now.Sub(e.homeUsedAt) < partTTL {
			ids = append(ids, e.upstream.ID)
		}
	}
	return ids
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
