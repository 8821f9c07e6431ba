package coldlimit

import (
	"fmt"
	"testing"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// BenchmarkSetUpstreams measures what a new version of the roster costs with 1,500
// upstreams of services with cold limits.
func BenchmarkSetUpstreams(b *testing.B) {
	table := newTable()
	var upstreams []catalog.Upstream
	for i := range 1500 {
		upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprintf("i-%010d", i), Service: "s", Address: "10.0.0.1:80", DataCentre: "a", StartedMs: 5})
	}
	b.ReportAllocs()
	for b.Loop() {
		table.set(testStart, upstreams...)
	}
}

// BenchmarkStep measures a step of a router that is not the first one for 19 cold upstreams
// among 390 routers.
func BenchmarkStep(b *testing.B) {
	table := newTable()
	var upstreams []catalog.Upstream
	for i := range 19 {
		u := upstream(coldReport)
		u.ID = fmt.Sprintf("i-%010d", i)
		upstreams = append(upstreams, u)
	}
	table.set(testStart, upstreams...)
	var ready []Router
	for i := range 390 {
		ready = append(ready, Router{Host: fmt.Sprintf("10.0.%d.%d:7400", i/200, i%200), DataCentre: "b", Region: "x"})
	}
	now := testStart
	for b.Loop() {
		for _, s := range table.spells {
			s.permit.tryAt = now
		}
		table.Step(now, ready)
	}
}
