package placement

import (
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// Instance identifies one run of an upstream.
type Instance struct {
	_         struct{} `cbor:",toarray"`
	Upstream  string
	StartedMs int64
}

// instance returns the run that an entry of an upstream describes.
func instance(u catalog.Upstream) Instance { return Instance{Upstream: u.ID, StartedMs: u.StartedMs} }

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
	request := t.request
	request.Assigned = true
	if reason, _ := set.rules.Check(now, set.identify(t.Upstream), request); reason != "" {
		return false
	}
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
func (set *upstreamSet) FreeIn(now time.Time, r eligibility.Request) time.Duration {
	var barred barredUpstreams
	for _, state := range set.ordered {
		if !set.uniformlyAllowed(now, state, r) {
			continue
		}
		if !state.barred(now) {
			return 0
		}
		barred.add(now, state, 0)
	}
	return barred.freeIn
}
