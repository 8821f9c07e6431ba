package dispatch

import (
	"time"
)

// upstream is the scheduler's state of one upstream.
type upstream struct {
	config  Upstream
	removed bool // deleted once nothing runs on it
	running int
	long    int // running tickets that count as long
	// stopping is the number of long running tickets that were asked to stop.
	stopping int
	// limit is the concurrency limit, between 1 and the slots. Its fraction is
	// rounded down.
	limit  float64
	health health
	// prefixes maps the hash of each prefix it served to the time of the last use,
	// in Unix nanoseconds.
	prefixes map[uint64]int64
	recent   []uint64 // the keys of prefixes, least recently used first
}

// SetUpstream adds an upstream or changes its configuration.
func (s *Scheduler) SetUpstream(c Upstream) {
	u := s.byID[c.ID]
	if u == nil {
		u = &upstream{config: c, limit: float64(c.Slots), prefixes: map[uint64]int64{}}
		s.byID[c.ID] = u
		s.upstreams = append(s.upstreams, u)
	}
	if c.Slots > u.config.Slots && !u.health.slowed {
		u.limit += float64(c.Slots - u.config.Slots)
	}
	u.config = c
	u.removed = false
	u.limit = min(u.limit, float64(c.Slots))
}

// RemoveUpstream removes an upstream. It gets no new work, and its running tickets
// are accounted for until they finish.
func (s *Scheduler) RemoveUpstream(id string) {
	u := s.byID[id]
	if u == nil {
		return
	}
	u.removed = true
	s.dropRemoved(u)
}

// dropRemoved deletes a removed upstream once nothing runs on it.
func (s *Scheduler) dropRemoved(u *upstream) {
	if !u.removed || u.running > 0 {
		return
	}
	delete(s.byID, u.config.ID)
	for i, other := range s.upstreams {
		if other == u {
			s.upstreams = append(s.upstreams[:i], s.upstreams[i+1:]...)
			break
		}
	}
	s.forgetPrefixes(u)
}

// closed reports whether the upstream takes no new work because it was removed,
// drains or has no slots.
func (u *upstream) closed() bool {
	return u.removed || u.config.Leaving || u.config.Slots <= 0
}

// capacity returns the number of requests that u may run now, without probes.
func (u *upstream) capacity() int {
	if u.closed() || u.health.slowed {
		return 0
	}
	return int(u.limit)
}

// free reports whether u may take one more request now. A slowed upstream takes
// one probe at a time, when it is due.
func (u *upstream) free(now time.Time) bool {
	if u.closed() || u.running >= u.config.Slots {
		return false
	}
	if u.health.slowed {
		return u.health.probe == "" && now.UnixNano() >= u.health.probeAt
	}
	return u.running < int(u.limit)
}

// fitsLongShare reports whether u stays within Policy.LongShare with one more long
// request.
func (s *Scheduler) fitsLongShare(u *upstream) bool {
	return u.long+1 <= int(s.policy.LongShare*u.limit)
}

// load returns the running requests as a fraction of the limit.
func (u *upstream) load() float64 {
	return float64(u.running) / max(u.limit, 1)
}

func (s *Scheduler) anyFree(now time.Time) bool {
	for _, u := range s.upstreams {
		if u.free(now) {
			return true
		}
	}
	return false
}

func (s *Scheduler) anyFreeForLong(now time.Time) bool {
	for _, u := range s.upstreams {
		if u.free(now) && s.fitsLongShare(u) {
			return true
		}
	}
	return false
}

// place picks the upstream for a ticket: the least loaded one, or one that has its
// prefix cached unless that is much more loaded.
func (s *Scheduler) place(now time.Time, qt *queuedTicket, shortWaits bool) *upstream {
	var best *upstream
	for _, u := range s.upstreams {
		if !u.free(now) || (qt.long && shortWaits && !s.fitsLongShare(u)) {
			continue
		}
		if best == nil || s.preferred(u, best, qt) {
			best = u
		}
	}
	warm := s.warmUpstream(now, qt)
	if best == nil || warm == nil || (qt.long && shortWaits && !s.fitsLongShare(warm)) {
		return best
	}
	if warm.load()-best.load() <= maxWarmLead {
		return warm
	}
	return best
}

// preferred reports whether u is a better choice than v. A slowed upstream with a due
// probe is preferred for short tickets and avoided for long ones, because a probe
// may run slowly.
func (s *Scheduler) preferred(u, v *upstream, qt *queuedTicket) bool {
	if u.health.slowed != v.health.slowed {
		return u.health.slowed != qt.long
	}
	return u.load() < v.load()
}

// roundRobin returns the next upstream with a free slot in round-robin order,
// regardless of its speed.
func (s *Scheduler) roundRobin() *upstream {
	for range s.upstreams {
		u := s.upstreams[s.nextRoundRobin%len(s.upstreams)]
		s.nextRoundRobin++
		if !u.closed() && u.running < u.config.Slots {
			return u
		}
	}
	return nil
}

func (s *Scheduler) leastOutstanding(now time.Time) *upstream {
	var best *upstream
	for _, u := range s.upstreams {
		if u.free(now) && (best == nil || u.running < best.running) {
			best = u
		}
	}
	return best
}
