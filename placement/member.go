package placement

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// member is what engines and plain upstreams have in common.
type member struct {
	upstream catalog.Upstream
	own      Load
	remote   Load
	others   int // routers that give it no work
	health   health
}

// avoidedBy is how many other routers have to avoid an upstream for this one to do
// the same. The path from a single router may be at fault.
const avoidedBy = 2

// usable tells whether the upstream may get work.
func (m *member) usable(now time.Time) bool { return m.health.usable(now) && m.others < avoidedBy }

// excluded tells whether the upstream is no candidate at all.
func (m *member) excluded(tried []string) bool {
	return m.upstream.Leaving || slices.Contains(tried, m.upstream.ID)
}

// base returns what the kinds of upstreams have in common.
func (m *member) base() *member { return m }

// load returns the load of all routers.
func (m *member) load() Load { return m.own.Plus(m.remote, 1) }

// report returns this router's own load for its report, false if there is none. An
// upstream whose pause is over is not reported as failing, or routers would keep
// each other from ever trying it again.
func (m *member) report(now time.Time) (Load, bool) {
	load := m.own
	load.Failing = m.health.paused(now)
	if load == (Load{}) {
		return load, false
	}
	load.Upstream = m.upstream.ID
	return load, true
}

// group is the upstreams of one service.
type group struct {
	home    Place
	regions map[string]string // region by data centre
	members map[string]*member
	listed  []*member // in the order of the upstreams
	usual   float64   // failure ratio of the service
}

// renew replaces the upstreams of g and returns their states by id and in order.
// The state of instances that stay is kept, others begin with a fresh one.
func renew[S interface{ base() *member }](g *group, old map[string]S, upstreams []catalog.Upstream, fresh func() S) (map[string]S, []S) {
	current := make(map[string]S, len(upstreams))
	order := make([]S, 0, len(upstreams))
	g.members = make(map[string]*member, len(upstreams))
	g.listed = make([]*member, 0, len(upstreams))
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
		g.listed = append(g.listed, m)
	}
	return current, order
}

// Loads returns this router's own loads.
func (g *group) Loads(now time.Time) []Load {
	var loads []Load
	for _, m := range g.listed {
		if load, ok := m.report(now); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// SetRemote replaces the loads of the other routers.
func (g *group) SetRemote(loads map[string]Load, failing map[string]int) {
	for id, m := range g.members {
		m.remote = loads[id]
		m.others = failing[id]
	}
}

// find returns the member that runs a ticket, nil if that instance is gone.
func (g *group) find(t *Ticket) *member {
	m := g.members[t.Upstream.ID]
	if m == nil || !m.upstream.SameInstance(t.Upstream) {
		return nil
	}
	return m
}

// mostFailing tells whether so many upstreams are avoided that all are used again:
// then the cause is elsewhere, or there is nothing better.
func (g *group) mostFailing(now time.Time) bool {
	failing := 0
	for _, m := range g.members {
		if !m.usable(now) {
			failing++
		}
	}
	return 2*failing > len(g.members)
}

// distance returns the wait in ms that an upstream's place costs.
func (g *group) distance(m *member, otherDataCentre, otherRegion time.Duration) float64 {
	switch {
	case m.upstream.DataCentre == g.home.DataCentre:
		return 0
	case g.regions[m.upstream.DataCentre] == g.home.Region:
		return milliseconds(otherDataCentre)
	default:
		return milliseconds(otherRegion)
	}
}

// settle learns from an outcome. It tells whether the upstream gets no more work
// because of it.
func (g *group) settle(m *member, now time.Time, outcome Outcome) bool {
	switch outcome {
	case Succeeded:
		g.usual = ewma(g.usual, 0, usualWeight)
		m.health.succeeded(now)
	case Failed, Rejected:
		g.usual = ewma(g.usual, 1, usualWeight)
		return m.health.failed(now, g.usual)
	case Unreachable:
		return m.health.unreachable(now)
	default:
		m.health.abandoned()
	}
	return false
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
