package cell

import (
	"strconv"
	"time"

	"github.com/lacewingshift/lacewingshift/event"
)

// holdDownTime is how long a router that lost a cell waits before it claims the
// cell again. It keeps two routers with different views from superseding each
// other with every message.
const holdDownTime = time.Second

// holdDown limits how often this router claims one cell.
type holdDown struct {
	// notBefore is the earliest time of the next claim, zero if this router has not
	// released the cell.
	notBefore time.Time
}

// holdDown returns the hold-down of a cell, creating it if necessary.
func (n *Node) holdDown(cell string) *holdDown {
	h := n.holdDowns[cell]
	if h == nil {
		h = &holdDown{}
		n.holdDowns[cell] = h
	}
	return h
}

// claimAssigned claims the cells that the view assigns to this router, and
// releases those that no longer exist.
func (n *Node) claimAssigned() {
	if !n.hasView {
		return
	}
	for _, name := range n.layout.names {
		if n.layout.assignedHolder(name) == n.cfg.Host && n.dispatchers[name] == nil {
			n.claimCell(name)
		}
	}
	for _, name := range sortedKeys(n.dispatchers) {
		if n.layout.byName[name] == nil {
			n.releaseCell(name, "cell_gone")
		}
	}
}

// claimAfterHoldDown claims the assigned cells whose hold-down has ended.
func (n *Node) claimAfterHoldDown() {
	for _, cell := range sortedKeys(n.holdDowns) {
		h := n.holdDowns[cell]
		if n.dispatchers[cell] != nil || n.layout.assignedHolder(cell) != n.cfg.Host {
			continue
		}
		if n.now.Before(h.notBefore) {
			n.wakeAt(h.notBefore)
			continue
		}
		n.claimCell(cell)
	}
}

// claimCell claims a cell with the next epoch.
func (n *Node) claimCell(cell string) {
	spec := n.layout.byName[cell]
	if spec == nil || spec.region != n.cfg.Region || n.dispatchers[cell] != nil || n.leaving {
		return
	}
	if n.now.Before(n.holdDown(cell).notBefore) {
		return
	}
	claim := claimMessage{Epoch: n.claims[cell].Epoch + 1, Holder: n.cfg.Host}
	n.claims[cell] = claim
	n.dispatchers[cell] = newDispatcher(n, spec, claim.Epoch)
	n.event("claimed", event.Event{Detail: cell + " epoch " + strconv.FormatUint(claim.Epoch, 10)})
	n.client.answerClaim(cell)
}

// releaseCell ends the dispatcher of a cell on this router. The reason is for the
// event.
func (n *Node) releaseCell(cell, reason string) {
	d := n.dispatchers[cell]
	delete(n.dispatchers, cell)
	n.storeCounters(cell, d.sched.Counters())
	n.holdDown(cell).notBefore = n.now.Add(holdDownTime)
	n.event("gave_up", event.Event{Detail: cell + " epoch " + strconv.FormatUint(d.epoch, 10) + ": " + reason})
}

// observeClaim compares a received claim with the highest known one. If the
// received claim is lower, its sender is sent the higher one.
func (n *Node) observeClaim(from, cell string, c claimMessage) {
	known := n.claims[cell]
	if known.higherThan(c) {
		n.out.sectionFor(from, cell).Claim = &known
		return
	}
	if c.higherThan(known) {
		n.claims[cell] = c
		n.yieldTo(cell, c)
		n.resyncSibling(cell)
	}
	n.client.answerClaim(cell)
}

// yieldTo reacts to a claim that is higher than this router's own. It releases the
// cell, unless this router is the assigned holder and either has granted nothing
// yet or the claim names no holder. Then only the epoch was too low, and it is
// raised above the other claim.
func (n *Node) yieldTo(cell string, c claimMessage) {
	d := n.dispatchers[cell]
	if d == nil || c.Holder == n.cfg.Host && c.Epoch == d.epoch {
		return
	}
	if (!d.ready || c.Holder == "") && n.layout.assignedHolder(cell) == n.cfg.Host && d.epochRaises < maxEpochRaises {
		d.raiseEpoch(c.Epoch + 1)
		return
	}
	n.releaseCell(cell, "higher claim of "+c.Holder)
}

// leave hands the cells of this router over to the routers next in rank.
func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.relayout()
	for _, name := range sortedKeys(n.dispatchers) {
		if next := n.layout.assignedHolder(name); next != "" && next != n.cfg.Host {
			s := n.out.sectionFor(next, name)
			s.Handover = true
			s.Claim = &claimMessage{Epoch: n.dispatchers[name].epoch, Holder: n.cfg.Host}
		}
	}
}
