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
	Window   ticket.Units  `json:"window"`
	Exchange ticket.Units  `json:"exchange"`
	Work     ticket.Units  `json:"work"`
	Age      time.Duration `json:"age"`
}

// DefaultBound returns the terms for the default policy. Work is the estimated
// work that a workspace may have running but unseen by callers: the default
// estimate of 150 tokens on each of four slots.
func DefaultBound() Bound {
	policy := dispatch.DefaultPolicy()
	return Bound{
		Window:   policy.Window,
		Exchange: policy.ExchangeThreshold,
		Work:     600 * ticket.GeneratedTokenPrice,
		Age:      216 * time.Millisecond,
	}
}

// units returns the bound for a fleet that serves rate units per second.
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
	var all []workspaceEvent
	for _, o := range outcomes {
		if o.Request.IsPlain() == plain {
			all = append(all, waitEvents(o)...)
			all = append(all, serviceEvents(o)...)
		}
	}
	all = slices.DeleteFunc(all, func(s workspaceEvent) bool { return s.at > end })
	slices.SortStableFunc(all, func(a, b workspaceEvent) int { return cmp.Compare(a.at, b.at) })
	return all
}

func waitEvents(o Outcome) []workspaceEvent {
	var all []workspaceEvent
	for i, a := range o.Attempts {
		waited := a.Waited
		last := i == len(o.Attempts)-1
		if last && waited == 0 && (o.Status == StatusAbandoned || o.Status == StatusLost) {
			waited = o.End - a.Sent
		}
		all = append(all,
			workspaceEvent{at: a.Sent, workspace: o.Request.Workspace, waiting: +1},
			workspaceEvent{at: a.Sent + waited, workspace: o.Request.Workspace, waiting: -1})
	}
	return all
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
	all := []workspaceEvent{{at: o.FirstOutput, workspace: w, service: usage.Cost()}}
	for _, t := range o.tokens {
		all = append(all, workspaceEvent{at: t.at, workspace: w, service: ticket.Units(t.tokens) * ticket.GeneratedTokenPrice})
	}
	return all
}

// evenServiceEvents charges a response that was not streamed evenly over its run
// time.
func evenServiceEvents(o Outcome, usage ticket.Usage) []workspaceEvent {
	last := o.Attempts[len(o.Attempts)-1]
	start := last.Sent + last.Waited
	all := []workspaceEvent{{at: start, workspace: o.Request.Workspace, service: usage.Cost()}}
	count := o.Request.Length
	for i := range count {
		at := start + (o.End-start)*time.Duration(i+1)/time.Duration(count)
		all = append(all, workspaceEvent{at: at, workspace: o.Request.Workspace, service: ticket.GeneratedTokenPrice})
	}
	return all
}

// pairGap tracks the difference of weighted service between two workspaces during
// one interval in which both have work waiting. The largest change of the
// difference over any part of the interval is highest - lowest.
type pairGap struct {
	lowest, highest float64
	started         bool
}

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
func fairnessGap(all []workspaceEvent, keys []deployment.Key) float64 {
	served := make([]float64, len(keys))
	waiting := make([]int, len(keys))
	pairs := make([]pairGap, len(keys)*len(keys))
	gap := 0.0
	for i := 0; i < len(all); {
		at := all[i].at
		for ; i < len(all) && all[i].at == at; i++ {
			s := all[i]
			served[s.workspace] += float64(s.service) / keys[s.workspace].Weight
			waiting[s.workspace] += s.waiting
			gap = max(gap, updatePairs(pairs, served, waiting, s.workspace))
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
func longestStarved(all []workspaceEvent, workspaces int, end time.Duration) time.Duration {
	waiting := make([]int, workspaces)
	since := make([]time.Duration, workspaces)
	longest := time.Duration(0)
	for _, s := range all {
		w := s.workspace
		if waiting[w] > 0 {
			longest = max(longest, s.at-since[w])
		}
		if waiting[w] <= 0 || s.service > 0 {
			since[w] = s.at
		}
		waiting[w] += s.waiting
	}
	for w := range waiting {
		if waiting[w] > 0 {
			longest = max(longest, end-since[w])
		}
	}
	return longest
}

// totalService returns the sum of the service in milli-units.
func totalService(all []workspaceEvent) float64 {
	total := 0.0
	for _, s := range all {
		total += float64(s.service)
	}
	return total
}

// backloggedFraction returns the fraction of workspaces that have work waiting,
// averaged over the time until end.
func backloggedFraction(all []workspaceEvent, workspaces int, end time.Duration) float64 {
	if end <= 0 || workspaces == 0 {
		return math.NaN()
	}
	waiting := make([]int, workspaces)
	count, last, area := 0, time.Duration(0), 0.0
	for _, s := range all {
		area += float64(count) * (s.at - last).Seconds()
		last = s.at
		before := waiting[s.workspace] > 0
		waiting[s.workspace] += s.waiting
		after := waiting[s.workspace] > 0
		if after && !before {
			count++
		}
		if before && !after {
			count--
		}
	}
	area += float64(count) * (end - last).Seconds()
	return area / end.Seconds() / float64(workspaces)
}
