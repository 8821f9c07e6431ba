package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

const (
	// timeWeight is the EWMA weight of one response time.
	timeWeight = 0.1
	// priorTime is the response time assumed before there are samples.
	priorTime = 50 * time.Millisecond
)

// PlainPolicy holds the weights and limits for placing requests on plain services.
type PlainPolicy struct {
	// MaxWait is the fraction of the remaining time that the predicted response
	// time may take.
	MaxWait float64
	// OtherRegion and OtherDataCentre are the penalties, as wait times, for
	// upstreams outside the router's region and data centre.
	OtherRegion, OtherDataCentre time.Duration
}

// DefaultPlainPolicy returns the policy that routers use.
func DefaultPlainPolicy() PlainPolicy {
	return PlainPolicy{MaxWait: 0.5, OtherRegion: 16 * time.Millisecond, OtherDataCentre: 2 * time.Millisecond}
}

// PlainRequest describes a request to a plain service for Place.
type PlainRequest struct {
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Exclude lists the upstreams that the request has already been sent to.
	Exclude []string
	// Eligibility is what decides which upstreams may get the request at all.
	Eligibility eligibility.Request
}

// PlainPool places requests on the upstreams of one plain service, as one router
// sees them.
type PlainPool struct {
	upstreamSet
	policy PlainPolicy
	states map[string]*plainUpstream
	order  []*plainUpstream
	near   []*plainUpstream // considered for every request that is not restricted
	// permitted holds those that are considered for restricted ones.
	permitted permittedLists[*plainUpstream]
	time      float64 // EWMA of the response times of all upstreams in ms
	rng       *rand.Rand
}

// plainUpstream is the state of one upstream of a plain service.
type plainUpstream struct {
	upstreamState
	time float64 // EWMA of response times in ms; 0 before the first sample
}

// NewPlainPool returns a pool without upstreams.
func NewPlainPool(policy PlainPolicy, location Location, regions map[string]string, seed uint64) *PlainPool {
	return &PlainPool{
		upstreamSet: upstreamSet{location: location, regions: regions, seed: seed}, policy: policy, states: map[string]*plainUpstream{},
		time: milliseconds(priorTime), rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetUpstreams replaces the upstreams. Instances that remain keep their state.
func (p *PlainPool) SetUpstreams(now time.Time, upstreams []catalog.Upstream) {
	p.states, p.order = updateUpstreams(now, &p.upstreamSet, p.states, upstreams, func() *plainUpstream { return &plainUpstream{} })
	p.RulesChanged(now)
}

// RulesChanged chooses the upstreams that are considered for every request anew, after
// the results of rules have changed for all routers.
func (p *PlainPool) RulesChanged(now time.Time) {
	p.near = nearby(now, &p.upstreamSet, p.order)
	p.permitted.invalidate()
}

// Interest returns the ids of the upstreams whose loads this router needs to know.
func (p *PlainPool) Interest(now time.Time) []string {
	var ids []string
	for _, s := range p.near {
		ids = append(ids, s.upstream.ID)
	}
	if len(p.permitted.byRegions) == 0 {
		return ids
	}
	for _, s := range p.permitted.inUse(now, &p.upstreamSet, p.order) {
		ids = append(ids, s.upstream.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// candidates returns the upstreams that are considered for a request.
func (p *PlainPool) candidates(now time.Time, request eligibility.Request) []*plainUpstream {
	if !p.limited || request.Regions == nil {
		return p.near
	}
	return p.permitted.candidates(now, &p.upstreamSet, p.near, p.order, request)
}

// Place chooses the upstream with the lowest predicted response time, adjusted for
// distance and failures.
func (p *PlainPool) Place(now time.Time, r PlainRequest) Decision {
	candidates := p.candidates(now, r.Eligibility)
	screen, candidates := newScreen(now, &p.upstreamSet, r.Eligibility, r.Exclude, candidates)
	var best *plainUpstream
	var bestCost, bestTimeMs float64
	for _, s := range candidates {
		if !screen.admits(&s.upstreamState, 0) {
			continue
		}
		predicted := s.predictTime(p.time)
		cost := (predicted + p.distancePenalty(&s.upstreamState, p.policy.OtherDataCentre, p.policy.OtherRegion)) * (1 + s.health.currentFailureRatio(now) + float64(s.ejectedBy))
		// Random jitter keeps routers with the same reports from choosing the same
		// upstream.
		cost *= 1 + 0.1*p.rng.Float64()
		if best == nil || cost < bestCost {
			best, bestCost, bestTimeMs = s, cost, predicted
		}
	}
	if best == nil {
		return screen.refuse(p.rng.Float64())
	}
	wait := time.Duration(bestTimeMs * float64(time.Millisecond))
	if float64(wait) > p.policy.MaxWait*float64(r.Remaining) {
		excess := wait - time.Duration(p.policy.MaxWait*float64(r.Remaining))
		return Decision{Reason: overloaded(r.Eligibility), RetryAfter: Jitter(excess+MinRetryAfter, p.rng.Float64()), Wait: wait}
	}
	return Decision{Upstream: best.upstream, Wait: wait, HeldBack: screen.barred.first}
}

// predictTime returns the expected response time in ms of one more request.
// serviceMeanMs is the mean of the whole service, used for an upstream without
// samples.
func (s *plainUpstream) predictTime(serviceMeanMs float64) float64 {
	mean := s.time
	if mean == 0 {
		mean = serviceMeanMs
	}
	slots := max(s.upstream.Slots, 1)
	requests := s.totalLoad().Requests + 1
	// Response times vary, so some queueing occurs even with half of the slots
	// busy.
	queue := float64(requests) / float64(slots)
	return mean * max(1, queue) * (1 + 0.5*min(queue, 1))
}

// Sent records that a request was sent to an upstream.
func (p *PlainPool) Sent(now time.Time, r PlainRequest, upstream catalog.Upstream) *Ticket {
	t := &Ticket{Upstream: upstream, request: r.Eligibility, sent: now}
	if state := p.find(t); state != nil {
		state.own.Requests++
		state.health.sent()
	}
	return t
}

// Ended removes the request's load and records its outcome. It reports whether the
// outcome caused the upstream to be ejected.
func (p *PlainPool) Ended(now time.Time, t *Ticket, outcome Outcome) bool {
	state := p.find(t)
	if state == nil {
		return false
	}
	state.own.Requests--
	if outcome == Succeeded {
		p.states[t.Upstream.ID].recordTime(milliseconds(now.Sub(t.sent)))
		p.time = ewma(p.time, milliseconds(now.Sub(t.sent)), timeWeight)
	}
	return p.recordOutcome(state, now, outcome)
}

func (s *plainUpstream) recordTime(tookMs float64) {
	if s.time == 0 {
		s.time = tookMs
	}
	s.time = ewma(s.time, tookMs, timeWeight)
}
