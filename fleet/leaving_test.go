package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/placement"
)

const (
	// leavingLimit is the time within which routers must know of a leaving upstream: a
	// quarter of the shortest time for which upstreams serve on after they said so.
	leavingLimit = 625 * time.Millisecond
	// leavingBytes is a tenth of the control traffic of a router at the target size, in
	// bytes a second.
	leavingBytes = 700
)

// All routers must learn soon that an upstream leaves, with digests lost on the way and
// at any size of the fleet, and the list must stay bounded.
func TestLeavingReachesAllRoutersSoon(t *testing.T) {
	for _, c := range []struct {
		routers, dataCentres int
		loss                 float64
		limit                time.Duration
	}{{9, 3, 0, leavingLimit}, {95, 6, 0, leavingLimit}, {95, 6, 0.02, 3 * leavingLimit}, {390, 7, 0, leavingLimit}} {
		t.Run(fmt.Sprintf("%d routers, loss %v", c.routers, c.loss), func(t *testing.T) {
			n := newNetwork(c.routers, c.dataCentres, c.loss)
			known := map[string]map[placement.Instance]bool{}
			var said time.Time
			leaving := placement.Instance{Upstream: "i-0123456789", StartedMs: 1_700_000_000_000}
			n.report = func(host string) *Report {
				for i := range n.tables[host].Totals(n.now).Leaving {
					known[host][i] = true
				}
				r := &Report{}
				for i := range known[host] {
					r.Leaving = append(r.Leaving, i)
				}
				return r
			}
			for _, host := range n.order {
				known[host] = map[placement.Instance]bool{}
			}
			n.run(t, 3*time.Second)
			before := n.bytes
			n.run(t, time.Second)
			quiet := n.bytes - before
			known[n.order[c.routers-1]][leaving] = true
			said = n.now
			all := func() bool {
				for _, host := range n.order {
					if !known[host][leaving] {
						return false
					}
				}
				return true
			}
			for !all() && n.now.Sub(said) < 10*time.Second {
				n.run(t, 10*time.Millisecond)
			}
			took := n.now.Sub(said)
			assert.LessOrEqual(t, took, c.limit)
			before = n.bytes
			n.run(t, time.Second)
			perRouter := float64(n.bytes-before-quiet) / float64(c.routers)
			t.Logf("known everywhere after %v, %.0f bytes a second and router while it lasts", took, perRouter)
			assert.Less(t, perRouter, float64(leavingBytes))
		})
	}
}
