package fleet

import (
	"testing"
	"time"
)

// Routers that know only one seed, which is a relay of another data centre, must
// find each other: the store may be down while a whole fleet starts.
func TestFleetStartsFromOneSeed(t *testing.T) {
	n := newNetwork(60, 6, 0)
	for _, host := range n.order {
		n.tables[host] = NewTable(n.tables[host].Self(), []string{"h000"}, n.now)
	}
	n.run(t, 6*time.Second)
	n.check(t, 60)
}
