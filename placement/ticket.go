package placement

import (
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// Ticket records one request at one upstream until it ends.
type Ticket struct {
	Upstream     catalog.Upstream
	request      eligibility.Request
	ReadTokens   int // prompt tokens that the engine is expected to read
	memoryTokens int // KV cache tokens that the request occupies
	queuedAhead  int // tokens queued ahead of the request when it was sent
	sent         time.Time
	waiting      bool // no event has arrived yet
}

// Sent records that a request was sent to the engine of a decision.
func (p *EnginePool) Sent(now time.Time, r EngineRequest, d Decision) *Ticket {
	t := &Ticket{Upstream: d.Upstream, request: r.Eligibility, ReadTokens: d.ReadTokens, memoryTokens: r.InputTokens + r.OutputTokens, sent: now, waiting: true}
	e := p.findEngine(t)
	if e == nil {
		return t
	}
	t.queuedAhead = e.totalLoad().WaitingTokens
	e.own.WaitingTokens += t.ReadTokens
	e.own.Requests++
	e.own.MemoryTokens += t.memoryTokens
	e.health.sent()
	for _, hash := range prefixHashes(r.Parts) {
		e.partLastUsed[hash] = now
	}
	if len(e.partLastUsed) > maxTrackedParts {
		evictParts(e.partLastUsed, now)
	}
	return t
}

func (p *EnginePool) findEngine(t *Ticket) *engine {
	if p.find(t) == nil {
		return nil
	}
	return p.engines[t.Upstream.ID]
}

// FirstEvent records that the engine has read the prompt.
func (p *EnginePool) FirstEvent(now time.Time, t *Ticket) {
	e := p.findEngine(t)
	if e == nil || !t.waiting {
		return
	}
	t.waiting = false
	e.own.WaitingTokens -= t.ReadTokens
	work := float64(t.queuedAhead + t.ReadTokens)
	took := milliseconds(now.Sub(t.sent))
	if work < minSampleTokens || took <= 0 {
		return
	}
	sample := min(max(work/took, p.priorRate/maxRateDeviation), p.priorRate*maxRateDeviation)
	if e.readRate == 0 {
		e.readRate = max(p.priorRate, 1)
	}
	e.readRate = ewma(e.readRate, sample, rateWeight)
}

// EventGap records the time between two events of a stream. Gaps much longer than
// the target say nothing about the engine: its network path or this process was
// stalled.
func (p *EnginePool) EventGap(now time.Time, t *Ticket, gap, target time.Duration) {
	if e := p.findEngine(t); e != nil {
		e.meanGapMs = ewma(e.meanGap(now), milliseconds(min(gap, maxGapFactor*target)), gapWeight)
		e.gapSampledAt = now
	}
}

// meanGap returns the EWMA of the gaps between events in ms, decayed by its age, so
// that an engine that is avoided for its long gaps is tried again.
func (e *engine) meanGap(now time.Time) float64 { return decay(e.meanGapMs, now.Sub(e.gapSampledAt)) }

// Ended removes the request's load and records its outcome. It reports whether the
// outcome caused the engine to be ejected.
func (p *EnginePool) Ended(now time.Time, t *Ticket, outcome Outcome) bool {
	e := p.findEngine(t)
	if e == nil {
		return false
	}
	if t.waiting {
		t.waiting = false
		e.own.WaitingTokens -= t.ReadTokens
	}
	e.own.Requests--
	e.own.MemoryTokens -= t.memoryTokens
	return p.recordOutcome(&e.upstreamState, now, outcome)
}
