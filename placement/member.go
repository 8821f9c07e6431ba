package placement

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// upstreamState is the state that engines and plain upstreams have in common.
type upstreamState struct {
	upstream  catalog.Upstream
	own       Load
	remote    Load
	ejectedBy int // other routers that have ejected it
	health    health
}

// ejectionQuorum is how many other routers must have ejected an upstream before
// this router avoids it too. A single report may be caused by that router's own
// network path.
const ejectionQuorum = 2

// usable reports whether the upstream may receive requests.
func (m *upstreamState) usable(now time.Time) bool {
	return m.health.usable(now) && m.ejectedBy < ejectionQuorum
}

// excluded reports whether the upstream is draining or was already tried.
func (m *upstreamState) excluded(tried []string) bool {
	return m.upstream.Draining || slices.Contains(tried, m.upstream.ID)
}

// base returns the common state; it lets updateUpstreams handle both kinds of
// upstreams.
func (m *upstreamState) base() *upstreamState { return m }

// totalLoad returns the load of all routers.
func (m *upstreamState) totalLoad() Load { return m.own.Plus(m.remote, 1) }

// ownLoad returns this router's load for its report, and false if there is none. An
// upstream whose ejection has ended is not reported as failing; otherwise routers
// would keep each other from ever probing it.
func (m *upstreamState) ownLoad(now time.Time) (Load, bool) {
	load := m.own
	load.Failing = m.health.ejected(now)
	if load == (Load{}) {
		return load, false
	}
	load.Upstream = m.upstream.ID
	return load, true
}

// upstreamSet holds the upstreams of one service.
type upstreamSet struct {
	home             Location
	regions          map[string]string // region by data centre
	members          map[string]*upstreamState
	ordered          []*upstreamState // in the order given by SetUpstreams
	baselineFailures float64          // EWMA of the failure ratio of the service
}

// updateUpstreams replaces the upstreams of g and returns their states by id and in
// order. Instances that remain keep their state, new ones get a fresh one.
func updateUpstreams[S interface{ base() *upstreamState }](g *upstreamSet, old map[string]S, upstreams []catalog.Upstream, fresh func() S) (map[string]S, []S) {
	current := make(map[string]S, len(upstreams))
	order := make([]S, 0, len(upstreams))
	g.members = make(map[string]*upstreamState, len(upstreams))
	g.ordered = make([]*upstreamState, 0, len(upstreams))
	for _, u := range upstreams {
		state, known := old[u.ID]
		if !known || !state.base().upstream.SameInstance(u) {
			state = fresh()
		}
		m := state.base()
		m.upstream = u
		current[u.ID] = state
		order = append(order, state)
		g.members[u.ID] = m
		g.ordered = append(g.ordered, m)
	}
	return current, order
}

// Loads returns this router's own loads for its report.
func (g *upstreamSet) Loads(now time.Time) []Load {
	var loads []Load
	for _, m := range g.ordered {
		if load, ok := m.ownLoad(now); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// SetRemote replaces the loads of the other routers. failing counts, by upstream,
// the other routers that have ejected it.
func (g *upstreamSet) SetRemote(loads map[string]Load, failing map[string]int) {
	for id, m := range g.members {
		m.remote = loads[id]
		m.ejectedBy = failing[id]
	}
}

// find returns the upstream that a ticket was sent to, or nil if that instance is
// gone.
func (g *upstreamSet) find(t *Ticket) *upstreamState {
	m := g.members[t.Upstream.ID]
	if m == nil || !m.upstream.SameInstance(t.Upstream) {
		return nil
	}
	return m
}

// panicMode reports whether more than half of the upstreams are unusable. All are
// then used again: either the cause lies elsewhere or there is nothing better.
func (g *upstreamSet) panicMode(now time.Time) bool {
	failing := 0
	for _, m := range g.members {
		if !m.usable(now) {
			failing++
		}
	}
	return 2*failing > len(g.members)
}

// distancePenalty returns the penalty in ms for an upstream in another data centre
// or region.
func (g *upstreamSet) distancePenalty(m *upstreamState, otherDataCentre, otherRegion time.Duration) float64 {
	switch {
	case m.upstream.DataCentre == g.home.DataCentre:
		return 0
	case g.regions[m.upstream.DataCentre] == g.home.Region:
		return milliseconds(otherDataCentre)
	default:
		return milliseconds(otherRegion)
	}
}

// recordOutcome updates the health of an upstream. It reports whether the outcome
// ejected the upstream.
func (g *upstreamSet) recordOutcome(m *upstreamState, now time.Time, outcome Outcome) bool {
	switch outcome {
	case Succeeded:
		g.baselineFailures = ewma(g.baselineFailures, 0, baselineWeight)
		m.health.recordSuccess(now)
	case Failed, Rejected:
		g.baselineFailures = ewma(g.baselineFailures, 1, baselineWeight)
		return m.health.recordFailure(now, g.baselineFailures)
	case Unreachable:
		return m.health.recordUnreachable(now)
	default:
		m.health.recordAbandoned()
	}
	return false
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
