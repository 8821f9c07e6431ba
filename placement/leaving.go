package placement

import (
	"slices"
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

// formerStates keeps the states of instances that are not listed, since an entry can
// be missing or outdated while the instance still runs.
type formerStates struct {
	byID  map[string]formerState
	order []string // ids, oldest first
}

type formerState struct {
	startedMs int64
	health    health
}

// put keeps what is known of an instance, unless a later one is known.
func (f *formerStates) put(i Instance, h health) {
	if f.byID == nil {
		f.byID = map[string]formerState{}
	}
	kept, known := f.byID[i.Upstream]
	if known && i.StartedMs < kept.startedMs {
		return
	}
	if !known {
		f.order = append(f.order, i.Upstream)
	}
	// Requests that are in progress meanwhile have no effect on the failures kept here.
	f.byID[i.Upstream] = formerState{startedMs: i.StartedMs, health: health{
		leavingSince: h.leavingSince, leftAloneSince: h.leftAloneSince, leftAloneUntil: h.leftAloneUntil, returning: h.returning,
	}}
	for len(f.order) > maxFormer {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// take returns what is known of an instance that is listed, and forgets it unless it is
// about a later one: an entry of an instance before that is outdated.
func (f *formerStates) take(now time.Time, i Instance) health {
	former, known := f.byID[i.Upstream]
	if !known {
		return health{}
	}
	if i.StartedMs < former.startedMs {
		return health{leavingSince: now}
	}
	delete(f.byID, i.Upstream)
	f.order = slices.DeleteFunc(f.order, func(id string) bool { return id == i.Upstream })
	if i.StartedMs > former.startedMs {
		return health{}
	}
	return former.health
}

// MarkLeaving records that an instance leaves, as one of its answers or another router
// says. It reports whether that is news.
func (set *upstreamSet) MarkLeaving(now time.Time, i Instance) bool {
	state := set.byID[i.Upstream]
	switch {
	case state != nil && i.StartedMs < state.upstream.StartedMs:
		return false // the instance before the present one
	case state != nil && i.StartedMs == state.upstream.StartedMs:
		return state.health.leave(now)
	}
	former, known := set.former.byID[i.Upstream]
	if known && i.StartedMs < former.startedMs {
		return false
	}
	h := former.health
	if i.StartedMs > former.startedMs {
		h = health{}
	}
	news := h.leave(now)
	set.former.put(i, h)
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
	former, known := set.former.byID[t.Upstream.ID]
	if !known || former.startedMs != t.Upstream.StartedMs {
		return 0
	}
	grew := former.health.leaveAlone(now, wait)
	set.former.byID[t.Upstream.ID] = former
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

// MaySend reports whether a request that was assigned before may still be sent. An
// instance of which a later incarnation is known has ended.
func (set *upstreamSet) MaySend(now time.Time, t *Ticket) bool {
	if state := set.byID[t.Upstream.ID]; state != nil {
		s := state.health.state(now)
		return state.upstream.SameInstance(t.Upstream) && s != Leaving && s != LeftAlone
	}
	former, known := set.former.byID[t.Upstream.ID]
	switch {
	case !known || t.Upstream.StartedMs > former.startedMs:
		return true
	case t.Upstream.StartedMs < former.startedMs:
		return false
	default:
		return former.health.leavingSince.IsZero() && !now.Before(former.health.leftAloneUntil)
	}
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
