package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/eligibility"
)

// permittedTTL is how long the upstreams that are considered for the requests of some
// regions stay in the interest of a router after the latest such request.
const permittedTTL = 20 * time.Second

// permittedLists holds, for a service with more than maxCandidates upstreams, those that
// are considered for restricted requests, by the regions that such a request permits. Of
// the upstreams that are considered for every request none may be in these regions.
type permittedLists[S interface{ base() *upstreamState }] struct {
	byRegions map[string]*permittedList[S]
}

// permittedList holds the upstreams that are considered for the requests of some regions.
type permittedList[S interface{ base() *upstreamState }] struct {
	regions []string
	states  []S
	stale   bool // the upstreams of the service have changed
	usedAt  time.Time
}

// invalidate has the lists chosen again when they are next needed.
func (p *permittedLists[S]) invalidate() {
	for _, list := range p.byRegions {
		list.stale = true
	}
}

// candidates returns the upstreams of all to consider for a restricted request. If none
// is permitted, these are the near ones, from which the rule on regions then gives the
// reason of the refusal.
func (p *permittedLists[S]) candidates(now time.Time, set *upstreamSet, near, all []S, request eligibility.Request) []S {
	key := strings.Join(request.Regions, "\x00")
	list := p.byRegions[key]
	if list == nil {
		if p.byRegions == nil {
			p.byRegions = map[string]*permittedList[S]{}
		}
		list = &permittedList[S]{regions: request.Regions, stale: true}
		p.byRegions[key] = list
	}
	list.usedAt = now
	if permitted := list.get(now, set, all); len(permitted) > 0 {
		return permitted
	}
	return near
}

// inUse returns the upstreams of the lists that were used lately, some several times, and
// drops the other lists.
func (p *permittedLists[S]) inUse(now time.Time, set *upstreamSet, all []S) []S {
	var states []S
	for key, list := range p.byRegions {
		if now.Sub(list.usedAt) >= permittedTTL {
			delete(p.byRegions, key)
			continue
		}
		states = append(states, list.get(now, set, all)...)
	}
	return states
}

// get returns the upstreams of the list, which are chosen of all if they are stale.
func (l *permittedList[S]) get(now time.Time, set *upstreamSet, all []S) []S {
	if !l.stale {
		return l.states
	}
	request := eligibility.Request{Regions: l.regions}
	permitted := slices.DeleteFunc(slices.Clone(all), func(s S) bool { return !request.Permits(s.base().identity.Region) })
	l.states, l.stale = chooseNearby(now, set, permitted), false
	if len(l.states) == 0 {
		// They give the reason for which none of them may get a request.
		l.states = permitted[:min(len(permitted), maxCandidates)]
	}
	return l.states
}
