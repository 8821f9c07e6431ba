package placement

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/eligibility"
)

// screen decides which upstreams one request may go to. In this order an upstream is left
// out because
//
//  1. the request has already been sent to it,
//  2. a rule of package eligibility does not allow it,
//  3. it is barred: it leaves, or asked for no requests for a time,
//  4. too many requests have failed there, unless most upstreams are failing.
//
// What is left is compared by limits and cost, which engines and plain upstreams do
// differently. If nothing is left, refuse states the reason.
type screen struct {
	now time.Time
	// panicking is set if more than half of the candidates that may get the request are
	// failing. All are then used again: either the cause lies elsewhere or there is nothing
	// better.
	panicking bool

	barred barredUpstreams
	// ineligible is the reason of the rule that is the last one in the chain at which an
	// upstream was left out, passed the number of rules before it.
	ineligible eligibility.Reason
	passed     int
}

// newScreen returns the screen for a request, and those of the candidates that the rules
// allow and that the request has not been sent to. Rules are checked once for each.
func newScreen[S interface{ base() *upstreamState }](now time.Time, set *upstreamSet, request eligibility.Request, exclude []string, candidates []S) (*screen, []S) {
	c := &screen{now: now}
	eligible := make([]S, 0, len(candidates))
	failing, allowed := 0, 0
	for _, candidate := range candidates {
		state := candidate.base()
		excluded, barred := slices.Contains(exclude, state.upstream.ID), state.barred(now)
		if excluded && barred || !c.eligible(set.rules, state, request) {
			continue
		}
		if !excluded {
			eligible = append(eligible, candidate)
		}
		if barred {
			continue
		}
		allowed++
		if !state.usable(now) {
			failing++
		}
	}
	c.panicking = 2*failing > allowed
	return c, eligible
}

// eligible reports whether the rules allow an upstream.
func (c *screen) eligible(rules eligibility.Chain, s *upstreamState, request eligibility.Request) bool {
	reason, passed := rules.Check(c.now, s.identity, request)
	if reason == "" {
		return true
	}
	if c.ineligible == "" || passed > c.passed {
		c.ineligible, c.passed = reason, passed
	}
	return false
}

// admits reports whether an eligible upstream may get the request. rank is its position in
// the order of preference.
func (c *screen) admits(s *upstreamState, rank int) bool {
	if s.barred(c.now) {
		c.barred.add(c.now, s, rank)
		return false
	}
	return c.panicking || s.usable(c.now)
}

// refuse refuses a request that no upstream may get; point, uniform in [0, 1), spreads
// the callers.
func (c *screen) refuse(point float64) Decision {
	d := c.barred.refuse(point)
	if d.Reason == NoUpstream && c.ineligible != "" {
		d.Reason = Reason(c.ineligible)
	}
	if c.ineligible == eligibility.OutsideRegions && d.Reason == Reason(c.ineligible) {
		d.RetryAfter = Jitter(lostRegionRetry, point)
	}
	return d
}

// lostRegionRetry is the shortest retry time while no upstream is in a permitted region.
// Upstreams that start need some seconds until they are listed.
const lostRegionRetry = time.Second

// overloaded returns the reason of a refusal because of the load of all upstreams that
// may get a request.
func overloaded(r eligibility.Request) Reason {
	if r.Regions != nil {
		return RegionsFull
	}
	return Overloaded
}
