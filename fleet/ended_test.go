package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// maxNamedAfterEnd is how long after its end a router may be named as ready.
	maxNamedAfterEnd = 7 * time.Second
	// churnStep is the time between two events of the simulation, on average.
	churnStep = 400 * time.Millisecond
)

// churn ends, starts, cuts off and pauses random routers of a simulated fleet.
type churn struct {
	*network
	rng     *rand.Rand
	records map[string]Record    // latest of each router
	ended   map[string]time.Time // by host, of those that do not run
	cutOff  map[string]time.Time // by host, when it is reached again
	paused  map[string]time.Time // by host, when it goes on
	leaves  map[string]time.Time // by host, when it ends after it has begun to stop
	longest time.Duration        // after the end of a router, while one named it
}

func newChurn(routers, dataCentres int, seed uint64) *churn {
	c := &churn{
		network: newNetwork(routers, dataCentres, 0.02), rng: rand.New(rand.NewPCG(seed, 6)), records: map[string]Record{},
		ended: map[string]time.Time{}, cutOff: map[string]time.Time{}, paused: map[string]time.Time{}, leaves: map[string]time.Time{},
	}
	for host, table := range c.tables {
		c.records[host] = table.Self()
	}
	c.partitioned = func(from, to string) bool {
		_, fromCut := c.cutOff[from]
		_, toCut := c.cutOff[to]
		return fromCut || toCut
	}
	return c
}

// between draws a time from low to high seconds.
func (c *churn) between(low, high int) time.Duration {
	return time.Duration(low*1000+c.rng.IntN((high-low)*1000)) * time.Millisecond
}

// running reports whether a router runs and can answer lookups.
func (c *churn) running(host string) bool {
	_, ended := c.ended[host]
	_, paused := c.paused[host]
	return !ended && !paused
}

// event lets something happen to a random router.
func (c *churn) event() {
	host := c.order[c.rng.IntN(len(c.order))]
	if at, ended := c.ended[host]; ended {
		if c.now.Sub(at) > c.between(1, 30) {
			c.startAgain(host)
		}
		return
	}
	switch c.rng.IntN(8) {
	case 0, 1:
		c.end(host)
	case 2:
		c.tables[host].SetState(Leaving)
		c.leaves[host] = c.now.Add(c.between(1, 7))
	case 3:
		c.cutOff[host] = c.now.Add(c.between(1, 20))
	case 4:
		c.paused[host] = c.now.Add(c.between(1, 12))
	case 5:
		// A relay is hit more often than by chance.
		c.end(slices.Min(slices.Collect(maps.Keys(c.records))))
		c.end(c.order[c.rng.IntN(12)])
	}
}

func (c *churn) end(host string) {
	if _, ended := c.ended[host]; !ended {
		c.ended[host] = c.now
		delete(c.cutOff, host)
		delete(c.paused, host)
		delete(c.leaves, host)
	}
}

// startAgain starts a router that knows the records of the store, some of which are those
// of ended routers.
func (c *churn) startAgain(host string) {
	r := c.records[host]
	r.Incarnation++
	c.records[host] = r
	table := NewTable(r, []string{c.order[0]}, c.now)
	table.Learn(c.now, slices.Collect(maps.Values(c.records)))
	c.tables[host] = table
	delete(c.ended, host)
}

// advance lets time pass.
func (c *churn) advance(t *testing.T, duration time.Duration) {
	for host, at := range c.leaves {
		if !c.now.Before(at) {
			c.end(host)
		}
	}
	for _, until := range []map[string]time.Time{c.cutOff, c.paused} {
		maps.DeleteFunc(until, func(_ string, at time.Time) bool { return !c.now.Before(at) })
	}
	for _, host := range c.order {
		c.stopped[host] = !c.running(host)
	}
	c.run(t, duration)
}

// check records which ended routers are named by running ones.
func (c *churn) check() {
	for _, host := range c.order {
		if !c.running(host) {
			continue
		}
		for _, r := range c.tables[host].Ready(c.now) {
			at, ended := c.ended[r.Host]
			if !ended {
				continue
			}
			c.longest = max(c.longest, c.now.Sub(at))
		}
	}
}

// Lookups must not name a router that has ended long ago, whatever has happened to the
// router that answers or to the relays it learns from: callers that are sent to an ended
// router wait for nothing.
func TestEndedRoutersAreNotNamed(t *testing.T) {
	for _, size := range []fleetSize{{12, 3}, {77, 6}, {133, 7}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d routers seed %d", size.routers, seed), func(t *testing.T) {
				t.Parallel()
				c := newChurn(size.routers, size.dataCentres, seed)
				c.advance(t, 4*time.Second)
				for end := c.now.Add(45 * time.Second); c.now.Before(end); {
					if c.rng.Float64() < 0.25*float64(size.routers)/40 {
						c.event()
					}
					c.advance(t, churnStep/4)
					c.check()
				}
				t.Logf("named until %v after the end; %d routers have ended", c.longest, len(c.ended))
				assert.LessOrEqual(t, c.longest, maxNamedAfterEnd)
			})
		}
	}
}
