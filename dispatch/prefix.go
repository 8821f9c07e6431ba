package dispatch

import (
	"slices"
	"time"
)

// maxWarmLead is how much more loaded, as a share of its limit, an upstream with
// the cached prefix may be than the least loaded one. Beyond that, the slowdown
// from load costs more than processing the prompt again.
const maxWarmLead = 0.5

// warmUpstream returns the least loaded free upstream that recently served the
// prefix of the ticket, nil if there is none.
func (s *Scheduler) warmUpstream(now time.Time, qt *queuedTicket) *upstream {
	hash := qt.ticket.PrefixHash
	if hash == 0 || !s.policy.isLacewing() {
		return nil
	}
	oldest := now.Add(-s.policy.PrefixTTL).UnixNano()
	var best *upstream
	for _, u := range s.prefixes[hash] {
		if u.health.slowed || !u.free(now) || u.prefixes[hash] < oldest {
			continue
		}
		if best == nil || u.load() < best.load() {
			best = u
		}
	}
	return best
}

// recordPrefix records that u served the prefix. Engines have a bounded cache, so
// the least recently used prefix is evicted first.
func (s *Scheduler) recordPrefix(now time.Time, u *upstream, hash uint64) {
	if hash == 0 || !s.policy.isLacewing() {
		return
	}
	if _, known := u.prefixes[hash]; !known {
		s.prefixes[hash] = append(s.prefixes[hash], u)
	} else if i := slices.Index(u.recent, hash); i >= 0 {
		u.recent = slices.Delete(u.recent, i, i+1)
	}
	u.recent = append(u.recent, hash)
	u.prefixes[hash] = now.UnixNano()
	if len(u.recent) > s.policy.MaxPrefixes {
		s.forgetPrefix(u, u.recent[0])
		u.recent = u.recent[1:]
	}
}

func (s *Scheduler) forgetPrefix(u *upstream, hash uint64) {
	delete(u.prefixes, hash)
	holders := s.prefixes[hash]
	if i := slices.Index(holders, u); i >= 0 {
		holders = slices.Delete(holders, i, i+1)
	}
	if len(holders) == 0 {
		delete(s.prefixes, hash)
		return
	}
	s.prefixes[hash] = holders
}

func (s *Scheduler) forgetPrefixes(u *upstream) {
	for _, hash := range u.recent {
		s.forgetPrefix(u, hash)
	}
	u.recent = nil
}
