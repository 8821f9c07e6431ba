package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

const (
	// partTTL is how long a prompt part is assumed to stay in an engine's cache
	// after its last use.
	partTTL = 20 * time.Second
	// maxTrackedParts bounds the prompt parts that are tracked for one engine.
	maxTrackedParts = 4096
	// rateWeight is the EWMA weight of one sample of the read rate.
	rateWeight = 0.1
	// minSampleTokens is the smallest amount of queued work that gives a sample of
	// the read rate. The time of less work is mostly set-up.
	minSampleTokens = 2000
	// gapWeight is the EWMA weight of one gap between events.
	gapWeight = 0.05
	// maxGapFactor caps one gap, as a multiple of the target gap.
	maxGapFactor = 2
	// priorRateFactor gives the assumed read rate of an engine before there are
	// samples, as a multiple of its part of the fleet's tokens per second. An
	// engine reads prompts faster than its overall rate.
	priorRateFactor = 1.6
	// secondChoiceFactor scales the cost of the engine that ranks second for a
	// prompt.
	secondChoiceFactor = 0.8
	// maxRateDeviation limits samples to the range from prior/maxRateDeviation to
	// prior*maxRateDeviation.
	maxRateDeviation = 4.0
)

// EnginePolicy holds the weights and limits for placing requests on engines.
type EnginePolicy struct {
	// MaxWait is the fraction of the target latency that the wait for queued
	// prompts may take for a request within its workspace's share. SpareWait is that
	// fraction for requests beyond the share, which only use left-over capacity. The
	// time to read the request's own prompt does not count; otherwise the largest
	// prompts would never be admitted.
	MaxWait, SpareWait float64
	// Taper is the last fraction of a share, over which the limit falls from MaxWait
	// to SpareWait.
	Taper float64
	// SpareSlots is the fraction of an engine's slots up to which it takes requests
	// beyond their workspace's share.
	SpareSlots float64
	// RereadPenalty weighs the tokens of shared prompt parts that an engine would
	// read although another engine has them cached. It adds to the time that
	// reading them takes.
	RereadPenalty float64
	// OtherRegion and OtherDataCentre are the penalties, as wait times, for engines
	// outside the router's region and data centre.
	OtherRegion, OtherDataCentre time.Duration
	// MaxGap is the fraction of the target gap that an engine's mean gap between
	// events may reach before the engine gets no further prompts to read.
	MaxGap float64
	// MaxSlots and MaxMemory are the fractions of an engine's slots and memory that
	// may be used.
	MaxSlots, MaxMemory float64
}

// DefaultEnginePolicy returns the policy that routers use.
func DefaultEnginePolicy() EnginePolicy {
	return EnginePolicy{
		MaxWait: 0.5, SpareWait: 0.02, Taper: 0.5, SpareSlots: 0.2, RereadPenalty: 8, OtherRegion: 10 * time.Millisecond, OtherDataCentre: 2 * time.Millisecond,
		MaxGap: 0.9, MaxSlots: 1, MaxMemory: 0.9,
	}
}

// EngineRequest describes a request to an engine for Place.
type EngineRequest struct {
	// Parts is the prompt in order, empty if the caller did not describe it.
	Parts []Part
	// InputTokens is the length of the prompt, OutputTokens an estimate of the
	// output.
	InputTokens, OutputTokens int
	// TargetLatency and TargetGap are those of the request's route.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Usage is what the workspace has been granted, as a multiple of its share.
	Usage float64
	// BeyondShare marks a request beyond its workspace's share. MayExceed allows it
	// to use left-over capacity.
	BeyondShare, MayExceed bool
	// Exclude lists the engines that the request has already been sent to.
	Exclude []string
	// Eligibility is what decides which engines may get the request at all.
	Eligibility eligibility.Request
}

// EnginePool places requests on the engines of one service, as one router sees
// them.
type EnginePool struct {
	upstreamSet
	policy    EnginePolicy
	engine    catalog.Engine // slots and memory of each engine
	engines   map[string]*engine
	order     []*engine
	near      []*engine // considered for every request that is not restricted
	permitted permittedLists[*engine]
	priorRate float64 // assumed read rate before samples, in tokens per ms
	rng       *rand.Rand
}

// engine is the state of one engine.
type engine struct {
	upstreamState
	readRate     float64              // read rate in prompt tokens per ms; 0 before the first sample
	meanGapMs    float64              // EWMA of the gaps between events in ms
	gapSampledAt time.Time            // time of the latest sample in meanGapMs
	partLastUsed map[uint64]time.Time // last use by prefix hash
	near         bool                 // in EnginePool.near
	homeUsedAt   time.Time            // when it was last among the homes of a prompt
}

// NewEnginePool returns a pool without engines.
func NewEnginePool(policy EnginePolicy, location Location, regions map[string]string, seed uint64) *EnginePool {
	return &EnginePool{
		upstreamSet: upstreamSet{location: location, regions: regions, seed: seed}, policy: policy, engines: map[string]*engine{},
		rng: rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetUpstreams replaces the engines. Instances that remain keep their state.
// engineSpec holds the slots and memory of each engine; tokensPerSecond is what all
// engines process together.
func (p *EnginePool) SetUpstreams(now time.Time, upstreams []catalog.Upstream, engineSpec catalog.Engine, tokensPerSecond float64) {
	p.engine = engineSpec
	p.priorRate = priorRateFactor * tokensPerSecond / 1000 / float64(max(len(upstreams), 1))
	p.engines, p.order = updateUpstreams(now, &p.upstreamSet, p.engines, upstreams, func() *engine {
		return &engine{partLastUsed: map[uint64]time.Time{}}
	})
	p.RulesChanged(now)
}

// RulesChanged chooses the engines that are considered for every request anew, after the
// results of rules have changed for all routers.
func (p *EnginePool) RulesChanged(now time.Time) {
	p.near = nearby(now, &p.upstreamSet, p.order)
	p.permitted.invalidate()
	for _, e := range p.order {
		e.near = false
	}
	for _, e := range p.near {
		e.near = true
	}
}

// candidate is an engine with its estimates for one request.
type candidate struct {
	engine     *engine
	readTokens int
	queueWait  float64 // ms until the engine starts to read the prompt
	reread     float64 // ms to read shared parts that are cached at another engine
	wait       float64 // ms to the first event
	cost       float64 // ms; the lowest one wins
	rank       int
}

// Place chooses the engine with the lowest cost among those that admit the request,
// or refuses it.
func (p *EnginePool) Place(now time.Time, r EngineRequest) Decision {
	if r.BeyondShare && !r.MayExceed {
		return Decision{Reason: OverShare, RetryAfter: Jitter(MinRetryAfter, p.rng.Float64())}
	}
	hashes := prefixHashes(r.Parts)
	homes := p.homes(now, hashes, r.Eligibility)
	candidates := p.candidates(now, homes, r.Eligibility)
	screen, candidates := newScreen(now, &p.upstreamSet, r.Eligibility, r.Exclude, candidates)
	maxWait := p.maxWait(r)
	var best, shortest *candidate
	usable := false
	for _, e := range candidates {
		rank := rank(homes, e)
		if !screen.admits(&e.upstreamState, rank) {
			continue
		}
		usable = true
		c := p.evaluate(now, e, r, hashes, rank)
		if shortest == nil || c.queueWait < shortest.queueWait {
			shortest = &c
		}
		if !p.admits(now, c, r, maxWait) {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = &c
		}
	}
	if !usable {
		return screen.refuse(p.rng.Float64())
	}
	if best == nil {
		return p.refuse(r, shortest, maxWait)
	}
	d := Decision{
		Upstream: best.engine.upstream, ReadTokens: best.readTokens, Rank: best.rank,
		Wait: time.Duration(best.wait * float64(time.Millisecond)),
	}
	if screen.barred.rank < best.rank {
		d.HeldBack = screen.barred.first
	}
	return d
}

// admits reports whether the request may go to the candidate. Rereading shared
// parts displaces other work, so it counts like queued work.
func (p *EnginePool) admits(now time.Time, c candidate, r EngineRequest, maxWait float64) bool {
	if c.queueWait+c.reread > maxWait || !p.hasCapacity(now, c.engine, r) {
		return false
	}
	if !r.BeyondShare {
		return true
	}
	requests := c.engine.totalLoad().Requests
	return c.reread == 0 && float64(requests) < p.policy.SpareSlots*float64(p.engine.Slots)
}

// maxWait returns the longest acceptable wait in ms. It shrinks towards the end of
// the workspace's share, so that workspaces that were granted least go first.
func (p *EnginePool) maxWait(r EngineRequest) float64 {
	target := milliseconds(r.TargetLatency)
	left := min(max(1-r.Usage, 0)/p.policy.Taper, 1)
	return target * (p.policy.SpareWait + left*(p.policy.MaxWait-p.policy.SpareWait))
}

// refuse returns a refusal whose retry time covers the excess of the shortest wait
// over maxWait, in ms.
func (p *EnginePool) refuse(r EngineRequest, shortest *candidate, maxWait float64) Decision {
	reason := overloaded(r.Eligibility)
	if r.BeyondShare {
		reason = OverShare
	}
	excess := max(shortest.queueWait-maxWait, 0)
	wait := time.Duration(excess*float64(time.Millisecond)) + MinRetryAfter
	return Decision{Reason: reason, RetryAfter: Jitter(wait, p.rng.Float64()), Wait: time.Duration(shortest.wait * float64(time.Millisecond))}
}

// evaluate estimates the wait and the cost of the request at an engine.
func (p *EnginePool) evaluate(now time.Time, e *engine, r EngineRequest, hashes []uint64, rank int) candidate {
	cachedParts := e.cachedParts(now, hashes, len(hashes) > 1 && rank == 0)
	readTokens, reread := 0, 0
	for i, part := range r.Parts[cachedParts:] {
		readTokens += part.Tokens
		if cachedParts+i < len(r.Parts)-1 {
			reread += part.Tokens
		}
	}
	if len(r.Parts) == 0 {
		readTokens = r.InputTokens
	}
	readRate := p.readRate(e)
	totalLoad := e.totalLoad()
	queueWait := float64(totalLoad.WaitingTokens) / readRate
	wait := queueWait + float64(readTokens)/readRate
	cost := wait + p.policy.RereadPenalty*float64(reread)/readRate + p.distancePenalty(&e.upstreamState, p.policy.OtherDataCentre, p.policy.OtherRegion)
	cost *= 1 + e.health.currentFailureRatio(now)
	if rank == 1 {
		// All routers prefer the same fallback when the home engine is busy.
		cost *= secondChoiceFactor
	}
	if e.ejectedBy > 0 {
		// Below ejectionQuorum the engine remains usable, but others are preferred.
		cost *= 2
	}
	return candidate{engine: e, readTokens: readTokens, queueWait: queueWait, reread: float64(reread) / readRate, wait: wait, cost: cost, rank: rank}
}

// readRate returns the read rate of an engine in tokens per ms.
func (p *EnginePool) readRate(e *engine) float64 {
	if e.readRate > 0 {
		return e.readRate
	}
	return max(p.priorRate, 1)
}

// hasCapacity reports whether slots, memory and the event gaps of running streams
// allow one more request.
func (p *EnginePool) hasCapacity(now time.Time, e *engine, r EngineRequest) bool {
	totalLoad := e.totalLoad()
	if p.engine.Slots > 0 && float64(totalLoad.Requests) >= p.policy.MaxSlots*float64(p.engine.Slots) {
		return false
	}
	memory := float64(totalLoad.MemoryTokens + r.InputTokens + r.OutputTokens)
	if p.engine.MemoryTokens > 0 && memory > p.policy.MaxMemory*float64(p.engine.MemoryTokens) {
		return false
	}
	gapLimit := p.policy.MaxGap * milliseconds(r.TargetGap)
	return gapLimit == 0 || e.meanGap(now) < gapLimit || totalLoad.WaitingTokens == 0
}
