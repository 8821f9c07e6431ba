package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/catalog"
)

var start = time.Unix(0, 0)

func plainPool(upstreams int) *PlainPool {
	p := NewPlainPool(DefaultPlainPolicy(), Location{"a", "r"}, map[string]string{"a": "r"}, 1)
	var list []catalog.Upstream
	for i := range upstreams {
		list = append(list, catalog.Upstream{ID: fmt.Sprintf("p%d", i), DataCentre: "a", Slots: 6})
	}
	p.SetUpstreams(start, list)
	return p
}

// runOne places and ends one request, and returns the upstream that it was sent to.
func (p *PlainPool) runOne(now time.Time, outcome func(id string) Outcome) string {
	d := p.Place(now, PlainRequest{Remaining: 5 * time.Second})
	p.Ended(now.Add(20*time.Millisecond), p.Sent(now, PlainRequest{}, d.Upstream), outcome(d.Upstream.ID))
	return d.Upstream.ID
}

// An upstream that fails part of its requests while the others are healthy must
// receive almost no requests, and must receive them again soon after it recovers.
func TestFailingUpstreamIsEjectedAndRecovers(t *testing.T) {
	p := plainPool(3)
	toFailing, total := 0, 0
	now := start
	for i := range 500 {
		now = now.Add(20 * time.Millisecond)
		id := p.runOne(now, func(id string) Outcome {
			if id == "p0" && i%2 == 0 {
				return Failed
			}
			return Succeeded
		})
		if i > 50 {
			total++
			if id == "p0" {
				toFailing++
			}
		}
	}
	assert.Less(t, float64(toFailing)/float64(total), 0.1)
	afterRecovery := 0
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		if p.runOne(now, func(string) Outcome { return Succeeded }) == "p0" {
			afterRecovery++
		}
	}
	assert.Greater(t, afterRecovery, 100)
}

// When all upstreams fail part of their requests, no request is refused for it.
func TestAllFailingUpstreamsAreUsed(t *testing.T) {
	p := plainPool(3)
	now := start
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		d := p.Place(now, PlainRequest{Remaining: 5 * time.Second})
		if !assert.False(t, d.Refused(), "request %d", i) {
			return
		}
		outcome := Succeeded
		if i%2 == 0 {
			outcome = Failed
		}
		p.Ended(now, p.Sent(now, PlainRequest{}, d.Upstream), outcome)
	}
}

// An unreachable upstream is ejected at once and then receives one probe per
// ejection.
func TestUnreachableUpstream(t *testing.T) {
	p := plainPool(2)
	attempts := 0
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		if p.runOne(now, func(id string) Outcome {
			if id == "p0" {
				return Unreachable
			}
			return Succeeded
		}) == "p0" {
			attempts++
		}
	}
	assert.LessOrEqual(t, attempts, 4)
}

// An instance that restarts under the same id starts with fresh state.
func TestRestartedInstanceHasFreshState(t *testing.T) {
	p := plainPool(1)
	ticket := p.Sent(start, PlainRequest{}, catalog.Upstream{ID: "p0", DataCentre: "a", Slots: 6})
	p.SetUpstreams(start, []catalog.Upstream{{ID: "p0", DataCentre: "a", Slots: 6, StartedMs: 5}})
	assert.Empty(t, p.Loads(start))
	p.Ended(start, ticket, Unreachable)
	assert.False(t, p.Place(start, PlainRequest{Remaining: time.Second}).Refused())
}

// Draining upstreams and those already tried are not chosen.
func TestExcludedUpstreams(t *testing.T) {
	p := plainPool(2)
	p.SetUpstreams(start, []catalog.Upstream{{ID: "p0", Draining: true}, {ID: "p1"}})
	assert.Equal(t, "p1", p.Place(start, PlainRequest{Remaining: time.Second}).Upstream.ID)
	assert.Equal(t, NoUpstream, p.Place(start, PlainRequest{Remaining: time.Second, Exclude: []string{"p1"}}).Reason)
}

// A request that cannot be answered in the remaining time is refused at once with a
// retry time.
func TestPlainOverload(t *testing.T) {
	p := plainPool(1)
	p.SetRemote(map[string]Load{"p0": {Requests: 300}}, nil)
	d := p.Place(start, PlainRequest{Remaining: time.Second})
	assert.Equal(t, Overloaded, d.Reason)
	assert.Positive(t, d.RetryAfter)
}

// Routers that all ejected an upstream must use it again after it recovers (soak
// seeds 14, 38 and 39). The fault: each router kept reporting the upstream as
// failing and waited for the others to stop reporting it.
func TestRoutersProbeUpstreamThatOthersEjected(t *testing.T) {
	pools := []*PlainPool{plainPool(3), plainPool(3), plainPool(3)}
	now := start
	healthy := false
	used := 0
	for step := range 1500 {
		now = now.Add(10 * time.Millisecond)
		healthy = step > 500
		failing := make([]map[string]int, len(pools))
		for i := range pools {
			failing[i] = map[string]int{}
			for j, other := range pools {
				for _, load := range other.Loads(now) {
					if i != j && load.Failing {
						failing[i][load.Upstream]++
					}
				}
			}
		}
		for i, p := range pools {
			if step > 50 { // all routers see the failures before the first reports
				p.SetRemote(nil, failing[i])
			}
			id := p.runOne(now, func(id string) Outcome {
				if id == "p0" && !healthy {
					return Unreachable
				}
				return Succeeded
			})
			if step > 1000 && id == "p0" {
				used++
			}
		}
	}
	assert.Greater(t, used, 200)
}
