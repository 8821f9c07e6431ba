package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/event"
)

// Timing and bounds of a takeover.
const (
	// takeoverTimeout is how long a new dispatcher waits for the state of the
	// entries before it starts to grant.
	takeoverTimeout = 300 * time.Millisecond
	// claimResendInterval is the time after which a claim is sent again to the
	// routers that have not answered.
	claimResendInterval = 100 * time.Millisecond
	// maxEpochRaises bounds how often one dispatcher raises its epoch above
	// another claim.
	maxEpochRaises = 4
)

// takeover is the part of a dispatcher that rebuilds the state of its cell after a
// claim. The dispatcher is ready, and grants, when all live routers have sent
// their tickets or takeoverTimeout has passed.
type takeover struct {
	ready     bool
	claimedAt time.Time
	nextClaim time.Time
	// awaited holds the routers that have not sent their tickets yet.
	awaited map[string]bool
	// claimSentTo holds the live routers that the claim was sent to.
	claimSentTo map[string]bool
	epochRaises int
}

// startClaim sends the claim to all live routers. Those of other regions may have
// tickets that run in this cell, too.
func (d *dispatcher) startClaim() {
	d.claimedAt = d.node.now
	d.claimSentTo = d.node.layout.liveHosts()
	d.awaited = d.node.layout.liveHosts()
	d.awaited[d.node.cfg.Host] = true
	d.sendClaims()
}

func (d *dispatcher) sendClaims() {
	d.nextClaim = d.node.now.Add(claimResendInterval)
	for _, host := range sortedKeys(d.awaited) {
		d.sendClaim(host)
	}
}

func (d *dispatcher) sendClaim(host string) {
	d.sectionFor(host).Claim = &claimMessage{Epoch: d.epoch, Holder: d.node.cfg.Host}
}

// claimToNewRouters sends the claim to routers that are new in the view. A router
// that returns after a partition may hold the cell itself.
func (d *dispatcher) claimToNewRouters() {
	for _, host := range sortedKeys(d.node.layout.region) {
		if !d.claimSentTo[host] {
			d.sendClaim(host)
		}
	}
	d.claimSentTo = d.node.layout.liveHosts()
}

// raiseEpoch claims the cell again with a higher epoch.
func (d *dispatcher) raiseEpoch(epoch uint64) {
	d.epochRaises++
	d.epoch = epoch
	d.node.claims[d.cellSpec.name] = claimMessage{Epoch: epoch, Holder: d.node.cfg.Host}
	d.startClaim()
}

// stateReceived records that a router has sent its tickets.
func (d *dispatcher) stateReceived(from string) {
	delete(d.awaited, from)
	if len(d.awaited) == 0 {
		d.becomeReady("complete")
	}
}

// skipDeadRouters stops waiting for the state of routers that are no longer live.
func (d *dispatcher) skipDeadRouters() {
	for _, host := range sortedKeys(d.awaited) {
		if !d.node.layout.isLive(host) && host != d.node.cfg.Host {
			d.stateReceived(host)
		}
	}
}

// becomeReady lets the dispatcher grant. The state, complete or partial, is for the
// event.
func (d *dispatcher) becomeReady(state string) {
	if d.ready {
		return
	}
	d.ready = true
	d.dirty = true
	elapsed := d.node.now.Sub(d.claimedAt)
	d.node.event("took_over", event.Event{Detail: d.cellSpec.name + " after " + elapsed.String() + ", state " + state})
}

// runClaim sends the claim again until all routers have answered, and lets the
// dispatcher grant without the missing answers after takeoverTimeout.
func (d *dispatcher) runClaim() {
	if d.ready {
		return
	}
	end := d.claimedAt.Add(takeoverTimeout)
	if !d.node.now.Before(end) {
		d.becomeReady("partial")
		return
	}
	if !d.node.now.Before(d.nextClaim) {
		d.sendClaims()
	}
	d.node.wakeAt(end)
	d.node.wakeAt(d.nextClaim)
}
