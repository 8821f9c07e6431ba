package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Bound holds the terms of the upper bound of the fairness gap (design section
// 4): Window + 2*Work + Exchange + Age*R, where R is the service rate of the
// fleet.
type Bound struct {
	// Window and Exchange are the Window and ExchangeThreshold of dispatch.Policy.
	Window   ticket.Units `json:"window"`
	Exchange ticket.Units `json:"exchange"`
	// Work is the estimated work of one workspace that is running but that callers
	// have not seen as output yet.
	Work ticket.Units `json:"work"`
	// Age is the longest time until work of one region starts in another.
	Age time.Duration `json:"age"`
}

// DefaultBound returns the terms for the default policy. Work is the default
// estimate of 150 tokens on each of four slots. Age is the summary interval of
// 200 ms and a round trip between regions of 16 ms.
func DefaultBound() Bound {
	policy := dispatch.DefaultPolicy()
	return Bound{
		Window:   policy.Window,
		Exchange: policy.ExchangeThreshold,
		Work:     600 * ticket.GeneratedTokenPrice,
		Age:      216 * time.Millisecond,
	}
}

// units returns the bound in milli-units per weight for a fleet that serves rate
// milli-units per second.
func (b Bound) units(rate float64) float64 {
	return float64(b.Window+2*b.Work+b.Exchange) + b.Age.Seconds()*rate
}

// workspaceEvent is a change of one workspace at one time: service received, a
// request that starts (+1) or stops (-1) waiting, or both.
type workspaceEvent struct {
	at        time.Duration
	workspace int
	service   ticket.Units
	waiting   int
}

// workspaceEvents returns the events up to end in time order, derived from the
// outcomes of either the plain calls or the completions.
func workspaceEvents(outcomes []Outcome, plain bool, end time.Duration) []workspaceEvent {
	var events []workspaceEvent
	for _, o := range outcomes {
		if o.Request.IsPlain() == plain {
			events = append(events, waitEvents(o)...)
			events = append(events, serviceEvents(o)...)
		}
	}
	events = slices.DeleteFunc(events, func(e workspaceEvent) bool { return e.at > end })
	slices.SortStableFunc(events, func(a, b workspaceEvent) int { return cmp.Compare(a.at, b.at) })
	return events
}

// waitEvents returns the start and the end of each attempt's wait. If an abandoned
// or lost request has no known queueing time, its last attempt counts as waiting
// until its end.
func waitEvents(o Outcome) []workspaceEvent {
	var events []workspaceEvent
	for i, a := range o.Attempts {
		waited := a.Waited
		last := i == len(o.Attempts)-1
		if last && waited == 0 && (o.Status == StatusAbandoned || o.Status == StatusLost) {
			waited = o.End - a.Sent
		}
		events = append(events,
			workspaceEvent{at: a.Sent, workspace: o.Request.Workspace, waiting: +1},
			workspaceEvent{at: a.Sent + waited, workspace: o.Request.Workspace, waiting: -1})
	}
	return events
}

// serviceEvents charges the prompt when the first token arrives, each token when
// it arrives, and a plain call when it ends.
func serviceEvents(o Outcome) []workspaceEvent {
	w := o.Request.Workspace
	if o.Request.IsPlain() {
		if o.Status != StatusComplete {
			return nil
		}
		return []workspaceEvent{{at: o.End, workspace: w, service: ticket.PlainCallPrice}}
	}
	if len(o.tokens) == 0 {
		return nil
	}
	usage := ticket.Usage{PromptTokens: int64(fake.PromptTokens(o.Request.Prompt()))}
	if o.Usage != nil {
		usage = *o.Usage
		usage.GeneratedTokens = 0
	}
	if o.Request.NonStreaming {
		return evenServiceEvents(o, usage)
	}
	events := []workspaceEvent{{at: o.FirstOutput, workspace: w, service: usage.Cost()}}
	for _, t := range o.tokens {
		events = append(events, workspaceEvent{at: t.at, workspace: w, service: ticket.Units(t.tokens) * ticket.GeneratedTokenPrice})
	}
	return events
}

// evenServiceEvents charges a response that was not streamed evenly over its run
// time.
func evenServiceEvents(o Outcome, usage ticket.Usage) []workspaceEvent {
	last := o.Attempts[len(o.Attempts)-1]
	start := last.Sent + last.Waited
	events := []workspaceEvent{{at: start, workspace: o.Request.Workspace, service: usage.Cost()}}
	count := o.Request.Length
	for i := range count {
		at := start + (o.End-start)*time.Duration(i+1)/time.Duration(count)
		events = append(events, workspaceEvent{at: at, workspace: o.Request.Workspace, service: ticket.GeneratedTokenPrice})
	}
	return events
}

// pairGap tracks the difference of weighted service between two workspaces during
// one interval in which both have work waiting. The largest change of the
// difference over any part of the interval is highest - lowest.
type pairGap struct {
	lowest, highest float64
	started         bool
}

// observe adds a difference and returns the largest change so far.
func (p *pairGap) observe(difference float64) float64 {
	if !p.started {
		p.started = true
		p.lowest, p.highest = difference, difference
	}
	p.lowest = min(p.lowest, difference)
	p.highest = max(p.highest, difference)
	return p.highest - p.lowest
}

// fairnessGap returns the largest difference of weighted service, in milli-units
// per weight, between two workspaces over any interval in which both had work
// waiting throughout.
func fairnessGap(events []workspaceEvent, keys []deployment.Key) float64 {
	served := make([]float64, len(keys))
	waiting := make([]int, len(keys))
	pairs := make([]pairGap, len(keys)*len(keys))
	gap := 0.0
	for i := 0; i < len(events); {
		at := events[i].at
		for ; i < len(events) && events[i].at == at; i++ {
			e := events[i]
			served[e.workspace] += float64(e.service) / keys[e.workspace].Weight
			waiting[e.workspace] += e.waiting
			gap = max(gap, updatePairs(pairs, served, waiting, e.workspace))
		}
	}
	return gap
}

// updatePairs updates the pairs that contain workspace w and returns their
// largest gap.
func updatePairs(pairs []pairGap, served []float64, waiting []int, w int) float64 {
	gap := 0.0
	for other := range served {
		if other == w {
			continue
		}
		a, b := min(w, other), max(w, other)
		p := &pairs[a*len(served)+b]
		if waiting[a] <= 0 || waiting[b] <= 0 {
			p.started = false
			continue
		}
		gap = max(gap, p.observe(served[a]-served[b]))
	}
	return gap
}

// longestStarved returns the longest time in which a workspace had work waiting
// and received no service.
func longestStarved(events []workspaceEvent, workspaces int, end time.Duration) time.Duration {
	waiting := make([]int, workspaces)
	since := make([]time.Duration, workspaces)
	longest := time.Duration(0)
	for _, e := range events {
		w := e.workspace
		if waiting[w] > 0 {
			longest = max(longest, e.at-since[w])
		}
		if waiting[w] <= 0 || e.service > 0 {
			since[w] = e.at
		}
		waiting[w] += e.waiting
	}
	for w := range waiting {
		if waiting[w] > 0 {
			longest = max(longest, end-since[w])
		}
	}
	return longest
}

// totalService returns the sum of the service in milli-units.
func totalService(events []workspaceEvent) float64 {
	total := 0.0
	for _, e := range events {
		total += float64(e.service)
	}
	return total
}

// backloggedFraction returns the fraction of workspaces that have work waiting,
// averaged over the time until end.
func backloggedFraction(events []workspaceEvent, workspaces int, end time.Duration) float64 {
	if end <= 0 || workspaces == 0 {
		return math.NaN()
	}
	waiting := make([]int, workspaces)
	count, last, workspaceSeconds := 0, time.Duration(0), 0.0
	for _, e := range events {
		workspaceSeconds += float64(count) * (e.at - last).Seconds()
		last = e.at
		before := waiting[e.workspace] > 0
		waiting[e.workspace] += e.waiting
		after := waiting[e.workspace] > 0
		if after && !before {
			count++
		}
		if before && !after {
			count--
		}
	}
	workspaceSeconds += float64(count) * (end - last).Seconds()
	return workspaceSeconds / end.Seconds() / float64(workspaces)
}
