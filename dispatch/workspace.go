package dispatch

import (
	"github.com/lacewingshift/lacewingshift/ticket"
)

// workspace is the scheduler's state of one workspace.
type workspace struct {
	name    string
	limits  Limits
	removed bool // has no plan; only running and partly run tickets remain
	short   queue
	long    queue
	// served is the sum of Counter.Served over all incarnations, offset the
	// maximum of Counter.Offset.
	served ticket.Units
	offset ticket.Units
	// hold is the cost reserved for running tickets: what is left of their
	// estimates.
	hold ticket.Units
	// stopping is the part of hold that belongs to runs asked to stop.
	stopping ticket.Units
	running  int
	// borrowed is the number of waiting tickets that belong to other cells.
	borrowed int
	// virtualService caches the virtual service, in milli-units per weight.
	virtualService float64
	backlogIndex   int  // index in Scheduler.backlogged, -1 if nothing waits
	wasAtPlanLimit bool // as of the last scanBacklog
	costs          costModel
	dirty          bool // counter changed since the last summary
}

func newWorkspace(name string, limits Limits) *workspace {
	return &workspace{
		name:         name,
		limits:       limits,
		short:        newQueue(),
		long:         newQueue(),
		backlogIndex: -1,
	}
}

func (w *workspace) weight() float64 {
	if w.limits.Weight > 0 {
		return w.limits.Weight
	}
	return 1
}

// firstWaiting returns the first waiting short ticket, or else the first long one.
func (w *workspace) firstWaiting() *queuedTicket {
	if w.short.head != nil {
		return w.short.head
	}
	return w.long.head
}

// refusable returns the waiting tickets that have not run at all.
func (w *workspace) refusable() []*queuedTicket {
	found := make([]*queuedTicket, 0, w.waiting())
	collect := func(qt *queuedTicket) bool {
		if !qt.hasRun() {
			found = append(found, qt)
		}
		return true
	}
	w.short.tree.Ascend(collect)
	w.long.tree.Ascend(collect)
	return found
}

func (w *workspace) waiting() int { return w.short.len() + w.long.len() }

// atPlanLimit reports whether the plan allows no more running tickets.
func (w *workspace) atPlanLimit() bool {
	return w.limits.MaxRunning > 0 && w.running >= w.limits.MaxRunning
}

// refresh recomputes the cached virtual service.
func (w *workspace) refresh() {
	w.virtualService = float64(w.served+w.hold)/w.weight() + float64(w.offset)
}

// received returns the virtual service without holds.
func (w *workspace) received() float64 {
	return float64(w.served)/w.weight() + float64(w.offset)
}

func (w *workspace) queueOf(qt *queuedTicket) *queue {
	if qt.long {
		return &w.long
	}
	return &w.short
}
