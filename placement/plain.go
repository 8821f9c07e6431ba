package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

const (
	// timeWeight is the weight of one answer in the moving mean of answer times.
	timeWeight = 0.1
	// priorTime is the answer time that is assumed before there are samples.
	priorTime = 50 * time.Millisecond
)

// PlainPolicy are the weights and limits for plain services.
type PlainPolicy struct {
	// Full is the part of the time left that the predicted wait may take.
	Full float64
	// OtherRegion and OtherDataCentre are the waits that staying near is worth.
	OtherRegion, OtherDataCentre time.Duration
}

// DefaultPlainPolicy returns the policy of the daemon.
func DefaultPlainPolicy() PlainPolicy {
	return PlainPolicy{Full: 0.5, OtherRegion: 16 * time.Millisecond, OtherDataCentre: 2 * time.Millisecond}
}

// PlainRequest is what the decision needs to know of a request to a plain
// service.
type PlainRequest struct {
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Exclude are upstreams that the request was sent to before.
	Exclude []string
}

// PlainPool is the upstreams of one plain service as one router sees them.
type PlainPool struct {
	group
	policy PlainPolicy
	plains map[string]*plain
	order  []*plain
	time   float64 // moving mean of the answer times of all upstreams in ms
	rng    *rand.Rand
}

type plain struct {
	member
	time float64 // moving mean of answer times in ms; 0 before the first
}

// NewPlainPool returns a pool without upstreams.
func NewPlainPool(policy PlainPolicy, home Place, regions map[string]string, seed uint64) *PlainPool {
	return &PlainPool{
		group: group{home: home, regions: regions}, policy: policy, plains: map[string]*plain{},
		time: milliseconds(priorTime), rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetUpstreams replaces the upstreams. Those that stay keep their state.
func (p *PlainPool) SetUpstreams(upstreams []catalog.Upstream) {
	p.plains, p.order = renew(&p.group, p.plains, upstreams, func() *plain { return &plain{} })
}

// Place chooses the upstream with the shortest predicted answer time.
func (p *PlainPool) Place(now time.Time, r PlainRequest) Decision {
	panicking := p.mostFailing(now)
	var best *plain
	var bestCost, bestTime float64
	for _, s := range p.order {
		if s.excluded(r.Exclude) || !panicking && !s.usable(now) {
			continue
		}
		predicted := s.predict(p.time)
		cost := (predicted + p.distance(&s.member, p.policy.OtherDataCentre, p.policy.OtherRegion)) * (1 + s.health.penalty(now) + float64(s.others))
		// A small random part keeps routers from choosing alike on equal reports.
		cost *= 1 + 0.1*p.rng.Float64()
		if best == nil || cost < bestCost {
			best, bestCost, bestTime = s, cost, predicted
		}
	}
	if best == nil {
		return Decision{Reason: NoUpstream, RetryAfter: firstPause}
	}
	wait := time.Duration(bestTime * float64(time.Millisecond))
	if float64(wait) > p.policy.Full*float64(r.Left) {
		over := wait - time.Duration(p.policy.Full*float64(r.Left))
		return Decision{Reason: Overloaded, RetryAfter: Spread(over+ShortestReturn, p.rng.Float64()), Wait: wait}
	}
	return Decision{Upstream: best.upstream, Wait: wait}
}

// predict returns the answer time in ms that one more request would see; usual is
// that of the service.
func (s *plain) predict(usual float64) float64 {
	mean := s.time
	if mean == 0 {
		mean = usual
	}
	slots := max(s.upstream.Slots, 1)
	requests := s.load().Requests + 1
	// Half of the slots busy already costs some waiting, as work times vary.
	queue := float64(requests) / float64(slots)
	return mean * max(1, queue) * (1 + 0.5*min(queue, 1))
}

// Sent notes that a request goes to an upstream.
func (p *PlainPool) Sent(now time.Time, upstream catalog.Upstream) *Ticket {
	t := &Ticket{Upstream: upstream, sent: now}
	if m := p.find(t); m != nil {
		m.own.Requests++
		m.health.sent()
	}
	return t
}

// Ended removes the request's load and learns from its outcome. It tells whether
// the upstream gets no more work because of it.
func (p *PlainPool) Ended(now time.Time, t *Ticket, outcome Outcome) bool {
	m := p.find(t)
	if m == nil {
		return false
	}
	m.own.Requests--
	if outcome == Succeeded {
		p.plains[t.Upstream.ID].answered(milliseconds(now.Sub(t.sent)))
		p.time = ewma(p.time, milliseconds(now.Sub(t.sent)), timeWeight)
	}
	return p.settle(m, now, outcome)
}

func (s *plain) answered(took float64) {
	if s.time == 0 {
		s.time = took
	}
	s.time = ewma(s.time, took, timeWeight)
}
