package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

const (
	// partMemory is how long a prompt part is taken to stay cached after its
	// latest use.
	partMemory = 20 * time.Second
	// maxParts bounds the remembered parts of one upstream.
	maxParts = 4096
	// rateWeight is the weight of one sample of the reading rate.
	rateWeight = 0.1
	// rateSampleTokens is the least waiting work that gives a sample of the
	// reading rate; the time of less is mostly set-up.
	rateSampleTokens = 2000
	// gapWeight is the weight of one pause between events.
	gapWeight = 0.05
	// longestGap is the longest pause that counts, in multiples of the target.
	longestGap = 2
	// priorShare is the assumed reading rate of an engine before there are
	// samples, as a multiple of its part of the fleet's tokens per second. An
	// engine reads faster than it produces over all.
	priorShare = 1.6
	// secondPreference is the factor on the cost of the second engine in the order
	// for a prompt.
	secondPreference = 0.8
	// rateRange bounds samples around the prior.
	rateRange = 4.0
)

// EnginePolicy are the weights and limits of the decision.
type EnginePolicy struct {
	// Full is the part of the target that the wait for prompts ahead may take for a
	// request within its workspace's share; Spare is that part for requests beyond
	// it, which only use capacity that is left over. The time that the request's own
	// prompt takes does not count, or the largest prompts would never run.
	Full, Spare float64
	// Taper is the last part of a share over which the limit falls from Full to
	// Spare.
	Taper float64
	// SpareSlots is the part of the slots up to which an engine takes requests
	// beyond their workspace's share.
	SpareSlots float64
	// Reread weighs a prompt token that an upstream reads although another one
	// holds it, beyond the time that reading takes.
	Reread float64
	// OtherRegion and OtherDataCentre are the waits that staying near is worth.
	OtherRegion, OtherDataCentre time.Duration
	// GapLimit is the part of the target for pauses that an upstream's pauses may
	// take before it gets no more prompts to read.
	GapLimit float64
	// SlotLimit and MemoryLimit are the parts of slots and memory that are used.
	SlotLimit, MemoryLimit float64
}

// DefaultEnginePolicy returns the policy of the daemon.
func DefaultEnginePolicy() EnginePolicy {
	return EnginePolicy{
		Full: 0.5, Spare: 0.02, Taper: 0.5, SpareSlots: 0.2, Reread: 8, OtherRegion: 10 * time.Millisecond, OtherDataCentre: 2 * time.Millisecond,
		GapLimit: 0.9, SlotLimit: 1, MemoryLimit: 0.9,
	}
}

// EngineRequest is what the decision needs to know of a request.
type EngineRequest struct {
	Parts []Part
	// Prompt and Output are tokens; Output is an estimate.
	Prompt, Output int
	Target         time.Duration
	GapTarget      time.Duration
	// Usage is what the workspace has received as a part of its share; 1 and more
	// is beyond it.
	Usage float64
	// MayExceed allows a request beyond the share to use capacity that is left
	// over.
	MayExceed bool
	// Exclude are upstreams that the request was sent to before.
	Exclude []string
}

// Pool is the engines of one service as one router sees them.
type Pool struct {
	group
	policy  EnginePolicy
	engine  catalog.Engine
	engines map[string]*engine
	order   []*engine
	prior   float64 // tokens per ms
	rng     *rand.Rand
}

// engine is the state of one upstream.
type engine struct {
	member
	rate  float64              // prompt tokens per ms; 0 before the first sample
	gap   float64              // moving mean pause between events in ms
	gapAt time.Time            // latest sample of gap
	parts map[uint64]time.Time // latest use by chain hash
}

// NewPool returns a pool without engines.
func NewPool(policy EnginePolicy, home Place, regions map[string]string, seed uint64) *Pool {
	return &Pool{
		group: group{home: home, regions: regions}, policy: policy, engines: map[string]*engine{},
		rng: rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetUpstreams replaces the engines. Those that stay keep their state.
// tokensPerSecond is what all of them produce together.
func (p *Pool) SetUpstreams(upstreams []catalog.Upstream, description catalog.Engine, tokensPerSecond float64) {
	p.engine = description
	p.prior = priorShare * tokensPerSecond / 1000 / float64(max(len(upstreams), 1))
	p.engines, p.order = renew(&p.group, p.engines, upstreams, func() *engine {
		return &engine{parts: map[uint64]time.Time{}}
	})
}

// candidate is an engine with its figures for one request.
type candidate struct {
	engine *engine
	read   int
	ahead  float64 // ms until the engine begins to read the prompt
	again  float64 // ms to read shared parts that another engine holds
	wait   float64 // ms to the first event
	cost   float64 // ms, what is compared
	rank   int
}

// Place chooses the engine for a request.
func (p *Pool) Place(now time.Time, r EngineRequest) Decision {
	if r.Usage >= 1 && !r.MayExceed {
		return Decision{Reason: OverShare, RetryAfter: Spread(ShortestReturn, p.rng.Float64())}
	}
	hashes := chain(r.Parts)
	ranks := p.ranks(hashes)
	panicking := p.mostFailing(now)
	limit := p.limit(r)
	var best, shortest *candidate
	usable := false
	for _, e := range p.order {
		if e.excluded(r.Exclude) || !panicking && !e.usable(now) {
			continue
		}
		usable = true
		c := p.weigh(now, e, r, hashes, ranks)
		if shortest == nil || c.ahead < shortest.ahead {
			shortest = &c
		}
		if !p.admits(now, c, r, limit) {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = &c
		}
	}
	if !usable {
		return Decision{Reason: NoUpstream, RetryAfter: firstPause}
	}
	if best == nil {
		return p.refuse(r, shortest, limit)
	}
	return Decision{
		Upstream: best.engine.upstream, Read: best.read, Rank: best.rank,
		Wait: time.Duration(best.wait * float64(time.Millisecond)),
	}
}

// admits tells whether the request may go to the candidate. Prompt parts that are
// read again take the place of other work, so they count like waiting work.
func (p *Pool) admits(now time.Time, c candidate, r EngineRequest, limit float64) bool {
	if c.ahead+c.again > limit || !p.hasRoom(now, c.engine, r) {
		return false
	}
	if r.Usage < 1 {
		return true
	}
	requests := c.engine.load().Requests
	return c.again == 0 && float64(requests) < p.policy.SpareSlots*float64(p.engine.Slots)
}

// limit is the longest acceptable wait in ms. It shrinks as the workspace comes
// to the end of its share, so that those who have received least go first.
func (p *Pool) limit(r EngineRequest) float64 {
	target := milliseconds(r.Target)
	left := min(max(1-r.Usage, 0)/p.policy.Taper, 1)
	return target * (p.policy.Spare + left*(p.policy.Full-p.policy.Spare))
}

func (p *Pool) refuse(r EngineRequest, shortest *candidate, limit float64) Decision {
	reason := Overloaded
	if r.Usage >= 1 {
		reason = OverShare
	}
	over := max(shortest.ahead-limit, 0)
	wait := time.Duration(over*float64(time.Millisecond)) + ShortestReturn
	return Decision{Reason: reason, RetryAfter: Spread(wait, p.rng.Float64()), Wait: time.Duration(shortest.wait * float64(time.Millisecond))}
}

// weigh works out what the request would find at an engine.
func (p *Pool) weigh(now time.Time, e *engine, r EngineRequest, hashes []uint64, ranks map[*engine]int) candidate {
	rank := ranks[e]
	held := e.held(now, hashes, len(hashes) > 1 && rank == 0)
	read, again := 0, 0
	for i, part := range r.Parts[held:] {
		read += part.Tokens
		if held+i < len(r.Parts)-1 {
			again += part.Tokens
		}
	}
	if len(r.Parts) == 0 {
		read = r.Prompt
	}
	rate := p.rate(e)
	load := e.load()
	ahead := float64(load.WaitingTokens) / rate
	wait := ahead + float64(read)/rate
	cost := wait + p.policy.Reread*float64(again)/rate + p.distance(&e.member, p.policy.OtherDataCentre, p.policy.OtherRegion)
	cost *= 1 + e.health.penalty(now)
	if rank == 1 {
		// Routers that turn away from the home agree on where to go.
		cost *= secondPreference
	}
	if e.others > 0 {
		cost *= 2
	}
	return candidate{engine: e, read: read, ahead: ahead, again: float64(again) / rate, wait: wait, cost: cost, rank: rank}
}

// rate is the reading rate of an engine in tokens per ms.
func (p *Pool) rate(e *engine) float64 {
	if e.rate > 0 {
		return e.rate
	}
	return max(p.prior, 1)
}

// hasRoom tells whether slots, memory and the pace of running streams allow one
// more request.
func (p *Pool) hasRoom(now time.Time, e *engine, r EngineRequest) bool {
	load := e.load()
	if p.engine.Slots > 0 && float64(load.Requests) >= p.policy.SlotLimit*float64(p.engine.Slots) {
		return false
	}
	memory := float64(load.MemoryTokens + r.Prompt + r.Output)
	if p.engine.MemoryTokens > 0 && memory > p.policy.MemoryLimit*float64(p.engine.MemoryTokens) {
		return false
	}
	gapLimit := p.policy.GapLimit * milliseconds(r.GapTarget)
	return gapLimit == 0 || e.pace(now) < gapLimit || load.WaitingTokens == 0
}
