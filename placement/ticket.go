package placement

import (
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// Ticket is the work of one request at one engine until it ends.
type Ticket struct {
	Upstream catalog.Upstream
	Read     int
	memory   int
	ahead    int // waiting tokens of others at the send
	sent     time.Time
	waiting  bool
}

// Sent notes that a request goes to the engine of a decision.
func (p *Pool) Sent(now time.Time, r EngineRequest, d Decision) *Ticket {
	t := &Ticket{Upstream: d.Upstream, Read: d.Read, memory: r.Prompt + r.Output, sent: now, waiting: true}
	e := p.findEngine(t)
	if e == nil {
		return t
	}
	t.ahead = e.load().WaitingTokens
	e.own.WaitingTokens += t.Read
	e.own.Requests++
	e.own.MemoryTokens += t.memory
	e.health.sent()
	for _, hash := range chain(r.Parts) {
		e.parts[hash] = now
	}
	if len(e.parts) > maxParts {
		forget(e.parts, now)
	}
	return t
}

func (p *Pool) findEngine(t *Ticket) *engine {
	if p.find(t) == nil {
		return nil
	}
	return p.engines[t.Upstream.ID]
}

// FirstEvent notes that the engine has read the prompt.
func (p *Pool) FirstEvent(now time.Time, t *Ticket) {
	e := p.findEngine(t)
	if e == nil || !t.waiting {
		return
	}
	t.waiting = false
	e.own.WaitingTokens -= t.Read
	work := float64(t.ahead + t.Read)
	took := milliseconds(now.Sub(t.sent))
	if work < rateSampleTokens || took <= 0 {
		return
	}
	sample := min(max(work/took, p.prior/rateRange), p.prior*rateRange)
	if e.rate == 0 {
		e.rate = max(p.prior, 1)
	}
	e.rate = ewma(e.rate, sample, rateWeight)
}

// Pause notes the time between two events of a stream. Much longer pauses than the
// target are no measure of the engine's pace: its path or this process was stopped.
func (p *Pool) Pause(now time.Time, t *Ticket, pause, target time.Duration) {
	if e := p.findEngine(t); e != nil {
		e.gap = ewma(e.pace(now), milliseconds(min(pause, longestGap*target)), gapWeight)
		e.gapAt = now
	}
}

// pace is the mean pause between events in ms, the less the longer ago it was
// seen, so that an engine that is spared for its pace is tried again.
func (e *engine) pace(now time.Time) float64 { return fade(e.gap, now.Sub(e.gapAt)) }

// Ended removes the request's load and learns from its outcome. It tells whether
// the engine gets no more work because of it.
func (p *Pool) Ended(now time.Time, t *Ticket, outcome Outcome) bool {
	e := p.findEngine(t)
	if e == nil {
		return false
	}
	if t.waiting {
		t.waiting = false
		e.own.WaitingTokens -= t.Read
	}
	e.own.Requests--
	e.own.MemoryTokens -= t.memory
	return p.settle(&e.member, now, outcome)
}
