package coldlimit

import (
	"slices"
	"time"
)

// call lets a call take effect in the store, and schedules its reply.
func (s *sim) call(r *simRouter, c Call, cut bool) {
	s.calls++
	reply := simReply{at: s.now.Add(5*time.Millisecond + s.upTo(20*time.Millisecond)), call: c}
	if s.disturbed {
		reply.at = s.now.Add(s.upTo(300 * time.Millisecond))
	}
	switch {
	case s.now.Before(s.downUntil) || cut && s.rng.Float64() < 0.5:
		reply.result.Outcome = Failed
	case cut:
		reply.result.Outcome = Lost
	default:
		reply.result = s.store(c)
		if s.disturbed && s.rng.Float64() < 0.2 {
			reply.result = Result{Outcome: Lost}
		}
	}
	r.replies = append(r.replies, reply)
}

// store applies a call to the store.
func (s *sim) store(c Call) Result {
	old, exists := s.objects[c.Upstream]
	switch {
	case c.Kind == Create && exists, (c.Kind == Replace || c.Kind == Remove) && exists && old.Revision != c.Permit.Revision:
		return Result{Outcome: Conflict}
	case c.Kind != Create && !exists:
		return Result{Outcome: Missing}
	case c.Kind == Read:
		return Result{Outcome: Done, Stored: old}
	case c.Kind == Remove:
		delete(s.objects, c.Upstream)
		s.revision++
		return Result{Outcome: Done}
	}
	s.revision++
	c.Permit.Revision, c.Permit.Version = s.revision, s.revision
	s.objects[c.Upstream] = c.Permit
	if u := s.find(c.Upstream); s.disturbed && !u.writeLost && s.rng.Float64() < 0.3 {
		u.writeLost = true
		delete(s.objects, c.Upstream)
	}
	return Result{Outcome: Done, Stored: c.Permit}
}

func (s *sim) find(id string) *simUpstream {
	return s.upstreams[slices.IndexFunc(s.upstreams, func(u *simUpstream) bool { return u.id == id })]
}
