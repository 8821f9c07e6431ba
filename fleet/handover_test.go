package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Two relays of a data centre that do not hear each other both send sums. No router
// may count a load twice for it.
func TestTwoActiveRelaysDoNotDoubleSums(t *testing.T) {
	n := newNetwork(43, 4, 0)
	n.run(t, 4*time.Second)
	n.partitioned = func(from, to string) bool {
		return from == "h000" && to == "h004" || from == "h004" && to == "h000"
	}
	for range 40 {
		n.run(t, 100*time.Millisecond)
		for _, host := range n.order {
			assert.LessOrEqual(t, n.tables[host].Totals(n.now).Loads["u"].Requests, 42, host)
		}
	}
	// Only the two that do not hear each other lack one report.
	for _, host := range n.order {
		assert.GreaterOrEqual(t, n.tables[host].Totals(n.now).Loads["u"].Requests, 41, host)
	}
	n.partitioned = nil
	n.run(t, 3*time.Second)
	n.check(t, 43)
}

// A router that was silent for a while comes back with its loads counted once, and its
// silence changes nothing for the others.
func TestSilentRouterComesBackWithoutJump(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		for _, silent := range []string{"h000", "h010"} { // a relay and a member
			n := newNetwork(43, 4, 0)
			n.run(t, 4*time.Second)
			n.stopped[silent] = true
			for elapsed := time.Duration(0); elapsed < silence; elapsed += 100 * time.Millisecond {
				n.run(t, 100*time.Millisecond)
				for _, host := range n.order {
					if host != silent {
						assert.LessOrEqual(t, n.tables[host].Totals(n.now).Loads["u"].Requests, 42, host)
					}
				}
			}
			for _, host := range n.order {
				if host != silent {
					assert.GreaterOrEqual(t, n.tables[host].Totals(n.now).Loads["u"].Requests, 41, "%s after %v of %s", host, silence, silent)
					assert.GreaterOrEqual(t, len(n.tables[host].Live(n.now)), 42, host)
				}
			}
			n.stopped[silent] = false
			n.run(t, 3*time.Second)
			n.check(t, 43)
		}
	}
}
