package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

// coldIDs holds the upstreams that are cold and not this router's to use.
type coldIDs map[string]bool

func (c coldIDs) Allows(_ time.Time, id string) bool  { return !c[id] }
func (c coldIDs) Permits(_ time.Time, id string) bool { return !c[id] }

// Guards against a cold upstream that gets requests because all others fail, in either
// kind of pool, and against a request that is sent after its upstream has become cold.
func TestColdUpstreamsGetNothingWhenAllOthersFail(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := coldIDs{"cold": true}
	upstreams := []catalog.Upstream{{ID: "cold", Slots: 6}, {ID: "warm", Slots: 6}}
	plain := NewPlainPool(DefaultPlainPolicy(), Location{}, nil, 1)
	plain.SetRules(eligibility.Chain{eligibility.Cold{Upstreams: cold}})
	plain.SetUpstreams(now, upstreams)
	engines := NewEnginePool(DefaultEnginePolicy(), Location{}, nil, 1)
	engines.SetRules(eligibility.Chain{eligibility.Cold{Upstreams: cold}})
	engines.SetUpstreams(now, upstreams, catalog.Engine{Slots: 8, MemoryTokens: 100_000}, 10_000)
	request := PlainRequest{Remaining: time.Second}
	engineRequest := EngineRequest{InputTokens: 100, TargetLatency: time.Second}
	for range 50 {
		for _, d := range []Decision{plain.Place(now, request), engines.Place(now, engineRequest)} {
			if !d.Refused() {
				require.Equal(t, "warm", d.Upstream.ID)
			}
		}
		plain.Ended(now, plain.Sent(now, request, upstreams[1]), Failed)
		engines.Ended(now, engines.Sent(now, engineRequest, Decision{Upstream: upstreams[1]}), Failed)
	}
	cold["warm"] = true
	refused := plain.Place(now, request)
	assert.Equal(t, Reason(eligibility.ColdLimited), refused.Reason)
	assert.Equal(t, Reason(eligibility.ColdLimited), engines.Place(now, engineRequest).Reason)
	delete(cold, "warm")
	ticket := plain.Sent(now, request, upstreams[1])
	assert.True(t, plain.MaySend(now, ticket))
	cold["warm"] = true
	assert.False(t, plain.MaySend(now, ticket))
}
