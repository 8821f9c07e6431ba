package placement

import "time"

// HeldBack describes an upstream that did not get a request although it was preferred.
type HeldBack struct {
	// Upstream is empty if there was none.
	Upstream string
	// State is Leaving, LeftAlone or Returning, and Age for how long.
	State State
	Age   time.Duration
}

// heldBack describes why an upstream is barred.
func (s *upstreamState) heldBack(now time.Time) HeldBack {
	h := HeldBack{Upstream: s.upstream.ID, State: s.health.state(now)}
	since := s.health.leftAloneSince
	if h.State == Leaving {
		since = s.health.leavingSince
	}
	h.Age = now.Sub(since)
	return h
}

// barredUpstreams collects the upstreams that are barred from a placement.
type barredUpstreams struct {
	first  HeldBack      // the one that was preferred most
	rank   int           // of first
	freeIn time.Duration // until the first of those that were left alone may get a request
	free   bool          // there is one
}

// add adds an upstream with its rank in the order of preference.
func (b *barredUpstreams) add(now time.Time, s *upstreamState, rank int) {
	if b.first.Upstream == "" || rank < b.rank {
		b.first, b.rank = s.heldBack(now), rank
	}
	var freeIn time.Duration
	switch s.health.state(now) {
	case LeftAlone:
		freeIn = s.health.leftAloneUntil.Sub(now)
	case Returning:
		freeIn = MinRetryAfter
	default:
		return
	}
	if !b.free || freeIn < b.freeIn {
		b.freeIn, b.free = freeIn, true
	}
}

// refuse refuses a request that no upstream may get. The retry time ends after the
// first of them may get requests again; point, uniform in [0, 1), spreads the callers.
func (b *barredUpstreams) refuse(point float64) Decision {
	d := Decision{Reason: NoUpstream, RetryAfter: minEjection, HeldBack: b.first}
	if b.free {
		d.Reason, d.RetryAfter = AllLeftAlone, b.freeIn+time.Duration(point*float64(MinRetryAfter))
	}
	return d
}
