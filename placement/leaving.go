package placement

import (
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// maxFormer bounds the instances that are no longer listed and whose state is kept.
const maxFormer = 1024

// Instance identifies one run of an upstream.
type Instance struct {
	_         struct{} `cbor:",toarray"`
	Upstream  string
	StartedMs int64
}

// instance returns the run that an entry of an upstream describes.
func instance(u catalog.Upstream) Instance { return Instance{Upstream: u.ID, StartedMs: u.StartedMs} }

// formerStates keeps what is known of instances that were listed before, since an entry
// can be missing or outdated while the instance still runs.
type formerStates struct {
	byID  map[string]formerState
	order []string // ids, oldest first
}

// formerState is what is known of the earlier instances of one upstream.
type formerState struct {
	listedMs int64 // start of the instance that was listed last
	// leftMs is the latest start of an instance that leaves. Those that started before
	// have ended. left is set if there is one.
	leftMs int64
	left   bool
	// alone says for how long instances that started until aloneMs want to be left
	// alone.
	aloneMs int64
	alone   health
}

// update changes what is known of an upstream.
func (f *formerStates) update(id string, change func(*formerState)) {
	if f.byID == nil {
		f.byID = map[string]formerState{}
	}
	former, known := f.byID[id]
	change(&former)
	f.byID[id] = former
	if !known {
		f.order = append(f.order, id)
	}
	for len(f.order) > maxFormer {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// put keeps the state of an instance that is no longer listed. Its failures are not
// kept: requests that are in progress meanwhile have no effect on them.
func (f *formerStates) put(i Instance, h health) {
	f.update(i.Upstream, func(former *formerState) {
		former.listedMs = i.StartedMs
		if !h.leavingSince.IsZero() {
			former.leave(i.StartedMs)
		}
		if !h.leftAloneUntil.IsZero() {
			former.aloneMs = max(former.aloneMs, i.StartedMs)
		}
		if h.leftAloneUntil.After(former.alone.leftAloneUntil) {
			former.alone = health{leftAloneSince: h.leftAloneSince, leftAloneUntil: h.leftAloneUntil, returning: h.returning}
		}
	})
}

// take returns the state of an instance that is listed now.
func (f *formerStates) take(now time.Time, i Instance) health {
	former, known := f.byID[i.Upstream]
	if !known {
		return health{}
	}
	var h health
	if i.StartedMs <= former.aloneMs {
		h = former.alone
	}
	if former.hasLeft(i.StartedMs) {
		h.leavingSince = now
	}
	return h
}

// leave records that an instance leaves. It reports whether that is news.
func (f *formerState) leave(startedMs int64) bool {
	if f.hasLeft(startedMs) {
		return false
	}
	f.left, f.leftMs = true, startedMs
	return true
}

// hasLeft reports whether an instance leaves or has left.
func (f *formerState) hasLeft(startedMs int64) bool { return f.left && startedMs <= f.leftMs }

// MarkLeaving records that an instance leaves, as one of its answers or another router
// says. It reports whether that is news.
func (set *upstreamSet) MarkLeaving(now time.Time, i Instance) (news bool) {
	if state := set.byID[i.Upstream]; state != nil && state.upstream.StartedMs <= i.StartedMs {
		news = state.health.leave(now)
	}
	set.former.update(i.Upstream, func(former *formerState) { news = former.leave(i.StartedMs) || news })
	return news
}

// Lists reports whether the upstream of an instance is in the list, in whatever run.
func (set *upstreamSet) Lists(i Instance) bool { return set.byID[i.Upstream] != nil }

// LeaveAlone records that the upstream of a request asked for no requests for a time.
// It returns by how much the time grew.
func (set *upstreamSet) LeaveAlone(now time.Time, t *Ticket, wait time.Duration) time.Duration {
	if state := set.find(t); state != nil {
		return state.health.leaveAlone(now, wait)
	}
	if former, known := set.former.byID[t.Upstream.ID]; !known || former.listedMs != t.Upstream.StartedMs {
		return 0
	}
	var grew time.Duration
	set.former.update(t.Upstream.ID, func(former *formerState) {
		grew = former.alone.leaveAlone(now, wait)
		former.aloneMs = max(former.aloneMs, t.Upstream.StartedMs)
	})
	return grew
}

// LeavingInstances returns the instances that leave while the list of upstreams does
// not say so.
func (set *upstreamSet) LeavingInstances() []Instance {
	var leaving []Instance
	for _, state := range set.ordered {
		if !state.health.leavingSince.IsZero() && !state.upstream.Draining {
			leaving = append(leaving, instance(state.upstream))
		}
	}
	return leaving
}

// MaySend reports whether a request that was assigned before may still be sent.
func (set *upstreamSet) MaySend(now time.Time, t *Ticket) bool {
	if state := set.byID[t.Upstream.ID]; state != nil {
		s := state.health.state(now)
		return state.upstream.SameInstance(t.Upstream) && s != Leaving && s != LeftAlone
	}
	former, known := set.former.byID[t.Upstream.ID]
	if !known {
		return true
	}
	// An instance after which another one was listed has ended.
	return t.Upstream.StartedMs == former.listedMs && !former.hasLeft(former.listedMs) && former.alone.state(now) != LeftAlone
}

// FreeIn returns the time until an upstream may get a request: 0 if one may now, or if
// none will by the passing of time.
func (set *upstreamSet) FreeIn(now time.Time) time.Duration {
	var barred barredUpstreams
	for _, state := range set.ordered {
		if !state.barred(now) {
			return 0
		}
		barred.add(now, state, 0)
	}
	return barred.freeIn
}

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
