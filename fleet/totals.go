package fleet

import (
	"maps"
	"time"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/placement"
)

// Totals is the sum of the reports of several routers.
type Totals struct {
	// Routers is the number of reports in the sum.
	Routers int
	// AgeMs is the sum of the ages of the reports, network delays not included.
	AgeMs int64
	// Loads and Failing are keyed by upstream; Failing counts the routers that have
	// ejected it.
	Loads   map[string]placement.Load
	Failing map[string]int
	// WorkspaceTokens is keyed by workspace, Retries by service.
	WorkspaceTokens map[string]fairshare.Tokens
	Retries         map[string]budget.Counts
	// Leaving holds the upstreams that leave, as at least one router says.
	Leaving map[placement.Instance]bool
}

// NewTotals returns empty totals.
func NewTotals() *Totals {
	return &Totals{
		Loads: map[string]placement.Load{}, Failing: map[string]int{},
		WorkspaceTokens: map[string]fairshare.Tokens{}, Retries: map[string]budget.Counts{},
		Leaving: map[placement.Instance]bool{},
	}
}

// MeanAge returns the mean age of the reports, network delays not included.
func (t *Totals) MeanAge() time.Duration {
	if t.Routers <= 0 {
		return 0
	}
	return time.Duration(t.AgeMs) * time.Millisecond / time.Duration(t.Routers)
}

// aged returns a copy of t with all reports older by age.
func (t *Totals) aged(age time.Duration) *Totals {
	return &Totals{
		Routers: t.Routers, AgeMs: t.AgeMs + int64(t.Routers)*age.Milliseconds(),
		Loads: maps.Clone(t.Loads), Failing: maps.Clone(t.Failing),
		WorkspaceTokens: maps.Clone(t.WorkspaceTokens), Retries: maps.Clone(t.Retries),
		Leaving: maps.Clone(t.Leaving),
	}
}

// AddReport adds a report of the given age, or with sign -1 subtracts it. Upstreams that
// leave are only added, as they never come back.
func (t *Totals) AddReport(r *Report, age time.Duration, sign int) {
	t.Routers += sign
	t.AgeMs += int64(sign) * age.Milliseconds()
	for _, load := range r.Loads {
		t.Loads[load.Upstream] = t.Loads[load.Upstream].Plus(load, sign)
		if load.Failing {
			t.Failing[load.Upstream] += sign
		}
	}
	for workspace, tokens := range r.WorkspaceTokens {
		t.WorkspaceTokens[workspace] = t.WorkspaceTokens[workspace].Add(tokens.Scale(float64(sign)))
	}
	for service, counts := range r.Retries {
		t.Retries[service] = t.Retries[service].Plus(counts, sign)
	}
	for _, i := range r.Leaving {
		t.Leaving[i] = true
	}
}

// Add adds other totals.
func (t *Totals) Add(other *Totals) {
	t.Routers += other.Routers
	t.AgeMs += other.AgeMs
	for upstream, load := range other.Loads {
		t.Loads[upstream] = t.Loads[upstream].Plus(load, 1)
	}
	for upstream, count := range other.Failing {
		t.Failing[upstream] += count
	}
	for workspace, tokens := range other.WorkspaceTokens {
		t.WorkspaceTokens[workspace] = t.WorkspaceTokens[workspace].Add(tokens)
	}
	for service, counts := range other.Retries {
		t.Retries[service] = t.Retries[service].Plus(counts, 1)
	}
	maps.Copy(t.Leaving, other.Leaving)
}

// restrictedTo returns the totals with only the loads of the upstreams in interest,
// or all of them if it is nil. Changing the result does not change t.
func (t *Totals) restrictedTo(interest map[string]bool) *Totals {
	restricted := NewTotals()
	if interest == nil {
		restricted.Add(t)
		return restricted
	}
	withoutLoads := *t
	withoutLoads.Loads, withoutLoads.Failing = nil, nil
	restricted.Add(&withoutLoads)
	for upstream := range interest {
		if t.hasUpstream(upstream) {
			restricted.setUpstream(t.upstreamSum(upstream))
		}
	}
	return restricted
}

func (t *Totals) hasUpstream(upstream string) bool {
	_, loaded := t.Loads[upstream]
	return loaded || t.Failing[upstream] != 0
}

// upstreamSum returns the sums of one upstream.
func (t *Totals) upstreamSum(upstream string) UpstreamSum {
	load := t.Loads[upstream]
	return UpstreamSum{
		Upstream: upstream, WaitingTokens: load.WaitingTokens, Requests: load.Requests, MemoryTokens: load.MemoryTokens,
		Failing: t.Failing[upstream],
	}
}

// setUpstream replaces the sums of one upstream.
func (t *Totals) setUpstream(sum UpstreamSum) {
	setOrDelete(t.Loads, sum.Upstream, sum.load(), placement.Load{})
	setOrDelete(t.Failing, sum.Upstream, sum.Failing, 0)
}
