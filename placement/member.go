package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// upstreamState is the state that engines and plain upstreams have in common.
type upstreamState struct {
	upstream  catalog.Upstream
	identity  eligibility.Upstream // of upstream
	idHash    uint64
	own       Load // of this router
	remote    Load // of the other routers together
	ejectedBy int  // other routers that have ejected it
	health    health
}

// maxCandidates is the number of upstreams of a service up to which every one is
// considered for each request. The work for a request and the loads that a router
// needs to know would otherwise grow with the fleet.
const maxCandidates = 160

// nearbyShares is the number of upstreams in the router's data centre, in its region
// and elsewhere that it considers for each request to a larger service.
var nearbyShares = [...]int{48, 24, 24}

// ejectionQuorum is how many other routers must have ejected an upstream before
// this router avoids it too. A single report may be caused by that router's own
// network path.
const ejectionQuorum = 2

// usable reports whether the upstream may receive requests.
func (s *upstreamState) usable(now time.Time) bool {
	return s.health.usable(now) && s.ejectedBy < ejectionQuorum
}

// barred reports whether the upstream must not get one more request.
func (s *upstreamState) barred(now time.Time) bool { return s.health.barred(now, s.own.Requests) }

// base returns the state itself; it lets updateUpstreams handle both kinds of
// upstreams.
func (s *upstreamState) base() *upstreamState { return s }

// totalLoad returns the load of all routers.
func (s *upstreamState) totalLoad() Load { return s.own.Plus(s.remote, 1) }

// ownLoad returns this router's load for its report, and false if there is none. An
// upstream whose ejection has ended is not reported as failing; otherwise routers
// would keep each other from ever probing it.
func (s *upstreamState) ownLoad(now time.Time) (Load, bool) {
	load := s.own
	load.Failing = s.health.ejected(now)
	if load == (Load{}) {
		return load, false
	}
	load.Upstream = s.upstream.ID
	return load, true
}

// upstreamSet holds the upstreams of one service.
type upstreamSet struct {
	location         Location
	regions          map[string]string // region by data centre
	rules            eligibility.Chain
	uniformRules     eligibility.Chain // of rules
	byID             map[string]*upstreamState
	ordered          []*upstreamState // in the order given by SetUpstreams
	withRemote       []*upstreamState // those with a remote load or ejections, some twice
	limited          bool             // only some upstreams are considered for a request
	former           formerStates     // of instances that are no longer listed
	seed             uint64           // of this router, for its choice of nearby upstreams
	baselineFailures float64          // EWMA of the failure ratio of the service
}

// updateUpstreams replaces the upstreams of set and returns their states by id and in
// order. Instances that remain keep their state, new ones get a fresh one. Only a later
// incarnation ends what is known of a leaving upstream.
func updateUpstreams[S interface{ base() *upstreamState }](now time.Time, set *upstreamSet, old map[string]S, upstreams []catalog.Upstream, fresh func() S) (map[string]S, []S) {
	current := make(map[string]S, len(upstreams))
	order := make([]S, 0, len(upstreams))
	set.byID = make(map[string]*upstreamState, len(upstreams))
	set.ordered = make([]*upstreamState, 0, len(upstreams))
	listed := make(map[string]catalog.Upstream, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = u
	}
	for id, state := range old {
		if common := state.base(); !common.upstream.SameInstance(listed[id]) {
			set.former.put(instance(common.upstream), common.health)
			delete(old, id)
		}
	}
	for _, u := range upstreams {
		state, known := old[u.ID]
		if !known {
			state = fresh()
			state.base().health = set.former.take(now, instance(u))
		}
		common := state.base()
		if u.Draining {
			common.health.leave(now)
		}
		common.upstream, common.idHash = u, xxhash.Sum64String(u.ID)
		common.identity = set.identify(u)
		current[u.ID] = state
		order = append(order, state)
		set.byID[u.ID] = common
		set.ordered = append(set.ordered, common)
	}
	return current, order
}

// SetRules sets the rules that decide which upstreams a request may go to.
func (set *upstreamSet) SetRules(rules eligibility.Chain) {
	set.rules, set.uniformRules = rules, rules.UniformRules()
}

// identify returns what rules know of an upstream.
func (set *upstreamSet) identify(u catalog.Upstream) eligibility.Upstream {
	return eligibility.Upstream{ID: u.ID, StartedMs: u.StartedMs, DataCentre: u.DataCentre, Region: set.regions[u.DataCentre]}
}

// uniformlyAllowed reports whether the rules that give the same result at all routers
// allow an upstream.
func (set *upstreamSet) uniformlyAllowed(now time.Time, s *upstreamState, request eligibility.Request) bool {
	if len(set.uniformRules) == 0 {
		return true
	}
	reason, _ := set.uniformRules.Check(now, s.identity, request)
	return reason == ""
}

// Loads returns this router's own loads for its report.
func (set *upstreamSet) Loads(now time.Time) []Load {
	var loads []Load
	for _, state := range set.ordered {
		if load, ok := state.ownLoad(now); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// SetRemote replaces the loads of the other routers. failing counts, by upstream,
// the other routers that have ejected it.
func (set *upstreamSet) SetRemote(loads map[string]Load, failing map[string]int) {
	for _, state := range set.withRemote {
		state.remote, state.ejectedBy = Load{}, 0
	}
	set.withRemote = set.withRemote[:0]
	for id, load := range loads {
		if state := set.byID[id]; state != nil {
			state.remote = load
			set.withRemote = append(set.withRemote, state)
		}
	}
	for id, count := range failing {
		if state := set.byID[id]; state != nil {
			state.ejectedBy = count
			set.withRemote = append(set.withRemote, state)
		}
	}
}

// find returns the upstream that a ticket was sent to, or nil if that instance is
// gone.
func (set *upstreamSet) find(t *Ticket) *upstreamState {
	state := set.byID[t.Upstream.ID]
	if state == nil || !state.upstream.SameInstance(t.Upstream) {
		return nil
	}
	return state
}

// Limited reports whether this router considers only some of the upstreams for a
// request, and needs to know only their loads.
func (set *upstreamSet) Limited() bool { return set.limited }

// nearby returns the upstreams that this router considers for every request: all of
// a small service, and of a large one some of each distance, those in its own data
// centre first. Routers choose different ones, so that together they use all.
func nearby[S interface{ base() *upstreamState }](now time.Time, set *upstreamSet, all []S) []S {
	set.limited = len(all) > maxCandidates
	return chooseNearby(now, set, all)
}

// chooseNearby returns the upstreams of a list that are considered: all of a short one.
// Upstreams that rules keep from all routers do not take the place of others.
func chooseNearby[S interface{ base() *upstreamState }](now time.Time, set *upstreamSet, all []S) []S {
	if len(all) <= maxCandidates {
		return all
	}
	var near, region, far []S
	for _, state := range all {
		upstream := state.base().upstream
		switch {
		case !state.base().health.leavingSince.IsZero() || !set.uniformlyAllowed(now, state.base(), eligibility.Request{}):
		case upstream.DataCentre == set.location.DataCentre:
			near = append(near, state)
		case set.regions[upstream.DataCentre] == set.location.Region:
			region = append(region, state)
		default:
			far = append(far, state)
		}
	}
	var chosen []S
	wanted := 0
	for i, group := range [][]S{near, region, far} {
		slices.SortFunc(group, func(a, b S) int {
			return cmp.Compare(rendezvous(set.seed, b.base().idHash), rendezvous(set.seed, a.base().idHash))
		})
		wanted += nearbyShares[i]
		chosen = append(chosen, group[:min(len(group), wanted-len(chosen))]...)
	}
	return chosen
}

// distancePenalty returns the penalty in ms for an upstream in another data centre
// or region.
func (set *upstreamSet) distancePenalty(state *upstreamState, otherDataCentre, otherRegion time.Duration) float64 {
	switch {
	case state.upstream.DataCentre == set.location.DataCentre:
		return 0
	case set.regions[state.upstream.DataCentre] == set.location.Region:
		return milliseconds(otherDataCentre)
	default:
		return milliseconds(otherRegion)
	}
}

// recordOutcome updates the health of an upstream. It reports whether the outcome
// ejected the upstream.
func (set *upstreamSet) recordOutcome(state *upstreamState, now time.Time, outcome Outcome) bool {
	switch outcome {
	case Succeeded:
		set.baselineFailures = ewma(set.baselineFailures, 0, baselineWeight)
		state.health.recordSuccess(now)
	case Failed, Rejected:
		set.baselineFailures = ewma(set.baselineFailures, 1, baselineWeight)
		return state.health.recordFailure(now, set.baselineFailures)
	case Unreachable:
		return state.health.recordUnreachable(now)
	default:
		state.health.recordAbandoned()
	}
	return false
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
