package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
)

// DispatcherStats describes a cell of which this router is the dispatcher.
type DispatcherStats struct {
	Cell  string
	Epoch uint64
	// Ready is false until the dispatcher has rebuilt its state after a claim.
	Ready     bool
	Waiting   int
	Running   int
	FreeSlots int
	Upstreams []dispatch.UpstreamStats
	// Workspaces holds the virtual service of each workspace.
	Workspaces []dispatch.WorkspaceStats
	// Gap is the fairness gap in milli-units per weight.
	Gap float64
	// Borrowed and Lent count the tickets borrowed from and lent to other cells.
	// Returned counts the borrowed tickets that were returned without a decision.
	Borrowed uint64
	Lent     uint64
	Returned uint64
	// CrossRegionGrants counts the grants to entries in other regions,
	// CrossRegionBytes the bytes of the request bodies that follow them.
	CrossRegionGrants uint64
	CrossRegionBytes  int64
}

// Stats describes a Node.
type Stats struct {
	// Cells holds the cells of which this router is the dispatcher, sorted by
	// name.
	Cells []DispatcherStats
	// Waiting and Running count the requests that arrived at this router.
	Waiting int
	Running int
	// Fallbacks lists the cells whose dispatcher is unreachable and for which
	// this router schedules its own requests.
	Fallbacks []string
	// PendingFinishes counts the finishes that no dispatcher has acknowledged.
	PendingFinishes int
}

// Stats returns statistics of the Node at the given time.
func (n *Node) Stats(now time.Time) Stats {
	var s Stats
	for _, name := range sortedKeys(n.dispatchers) {
		s.Cells = append(s.Cells, n.dispatchers[name].dispatcherStats(now))
	}
	for _, r := range n.client.requests {
		if r.granted() {
			s.Running++
		} else {
			s.Waiting++
		}
	}
	for _, name := range sortedKeys(n.client.links) {
		if n.client.links[name].fallback != nil {
			s.Fallbacks = append(s.Fallbacks, name)
		}
	}
	s.PendingFinishes = len(n.client.finishes)
	return s
}

func (d *dispatcher) dispatcherStats(now time.Time) DispatcherStats {
	s := d.sched.Stats(now)
	return DispatcherStats{
		Cell: d.cellSpec.name, Epoch: d.epoch, Ready: d.ready,
		Waiting: s.Waiting, Running: s.Running, FreeSlots: s.FreeSlots,
		Upstreams: s.Upstreams, Workspaces: s.Workspaces, Gap: s.Gap,
		Borrowed: d.stats.borrowed, Lent: d.stats.lent, Returned: d.stats.returned,
		CrossRegionGrants: d.stats.crossGrants, CrossRegionBytes: d.stats.crossBytes,
	}
}
