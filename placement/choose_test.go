package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// A request must not reach an upstream that a rule leaves out, neither by its first
// choice nor if the rule begins to apply before it is sent, and a refusal names the rule.
func TestRulesDecideBeforeLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	regions := map[string]string{"a1": "a", "b1": "b"}
	p := NewPlainPool(DefaultPlainPolicy(), Location{DataCentre: "a1", Region: "a"}, regions, 1)
	p.SetRules(eligibility.Chain{eligibility.Regions{}})
	p.SetUpstreams(now, []catalog.Upstream{{ID: "near", DataCentre: "a1", Slots: 6}, {ID: "far", DataCentre: "b1", Slots: 6}})

	inB := PlainRequest{Remaining: time.Second, Eligibility: eligibility.Request{Regions: []string{"b"}}}
	d := p.Place(now, inB)
	assert.Equal(t, "far", d.Upstream.ID)
	ticket := p.Sent(now, inB, d.Upstream)
	assert.True(t, p.MaySend(now, ticket))
	p.SetRules(eligibility.Chain{eligibility.Regions{}, refuseAll{}})
	assert.False(t, p.MaySend(now, ticket))
	assert.Equal(t, Reason("refused"), p.Place(now, inB).Reason)

	p.SetRules(eligibility.Chain{eligibility.Regions{}})
	nowhere := PlainRequest{Remaining: time.Second, Eligibility: eligibility.Request{Regions: []string{}}}
	refused := p.Place(now, nowhere)
	assert.True(t, refused.Refused())
	assert.Equal(t, Reason(eligibility.OutsideRegions), refused.Reason)
}

// refuseAll is a rule that no upstream passes.
type refuseAll struct{}

func (refuseAll) Check(time.Time, eligibility.Upstream, eligibility.Request) eligibility.Reason {
	return "refused"
}
