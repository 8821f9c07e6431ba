package fleet

import (
	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/placement"
)

// Totals are the sums over the reports of several routers.
type Totals struct {
	// Routers is the number of reports in the sums.
	Routers int `cbor:"1,keyasint,omitempty"`
	// Loads and Failing are by upstream; Failing counts the routers that give it no
	// work.
	Loads   map[string]placement.Load   `cbor:"2,keyasint,omitempty"`
	Failing map[string]int              `cbor:"3,keyasint,omitempty"`
	Uses    map[string]fairshare.Tokens `cbor:"4,keyasint,omitempty"`
	Repeats map[string]budget.Counts    `cbor:"5,keyasint,omitempty"`
}

// newTotals returns empty sums.
func newTotals() *Totals {
	return &Totals{
		Loads: map[string]placement.Load{}, Failing: map[string]int{},
		Uses: map[string]fairshare.Tokens{}, Repeats: map[string]budget.Counts{},
	}
}

// addReport adds a report, or takes it off again with sign -1.
func (t *Totals) addReport(r *Report, sign int) {
	t.Routers += sign
	for _, load := range r.Loads {
		t.Loads[load.Upstream] = t.Loads[load.Upstream].Plus(load, sign)
		if load.Failing {
			t.Failing[load.Upstream] += sign
		}
	}
	for workspace, use := range r.Uses {
		t.Uses[workspace] = t.Uses[workspace].Add(use.Scale(float64(sign)))
	}
	for service, counts := range r.Repeats {
		t.Repeats[service] = t.Repeats[service].Plus(counts, sign)
	}
}

// add adds other sums.
func (t *Totals) add(other *Totals) {
	t.Routers += other.Routers
	for upstream, load := range other.Loads {
		t.Loads[upstream] = t.Loads[upstream].Plus(load, 1)
	}
	for upstream, count := range other.Failing {
		t.Failing[upstream] += count
	}
	for workspace, use := range other.Uses {
		t.Uses[workspace] = t.Uses[workspace].Add(use)
	}
	for service, counts := range other.Repeats {
		t.Repeats[service] = t.Repeats[service].Plus(counts, 1)
	}
}
