package member

import (
	"slices"
	"time"
)

// merge applies a record received from a host if it is newer than the known one,
// and reports whether it did.
func (n *Node) merge(now time.Time, from string, r Member) bool {
	if r.Host == n.self.Host {
		n.refute(now, r)
		return false
	}
	e := n.table[r.Host]
	if e == nil {
		return n.add(now, from, r)
	}
	if !r.newerThan(e.Member) {
		return false
	}
	if r.State == Dead && e.State < Suspect {
		// After a partition has healed, the other side reports all members of this
		// side as dead. They become suspect first, to give them time to refute it.
		r.State = Suspect
	}
	n.update(now, e, r)
	n.queueUpdate(r.Host, from)
	return true
}

// add adds a host that was not known. It ignores records of hosts that are gone, so
// that forgotten members are not added again.
func (n *Node) add(now time.Time, from string, r Member) bool {
	if r.State.isGone() || !r.isFull() {
		return false
	}
	e := &entry{Member: r, vertex: newVertex(r.Host, r.Region), stateSince: now, leaving: r.State == Leaving}
	n.table[r.Host] = e
	delete(n.lost, r.Host)
	n.digest.toggle(r)
	n.noteChange(e, true)
	n.startReach(now, r.DataCentre)
	n.queueUpdate(r.Host, from)
	return true
}

// update replaces the record of a known member.
func (n *Node) update(now time.Time, e *entry, r Member) {
	old := e.Member
	e.Member = r
	if !r.isFull() {
		e.Member = old
		e.Incarnation, e.State = r.Incarnation, r.State
	}
	e.ConfigVersion = max(old.ConfigVersion, r.ConfigVersion)
	if r.Incarnation != old.Incarnation {
		e.leaving = false
	}
	e.leaving = e.leaving || r.State == Leaving
	if r.State != old.State {
		e.stateSince = now
	}
	if old.State == Dead && !r.State.isGone() {
		e.countReturn(now)
	}
	if old.State.isGone() && !r.State.isGone() {
		n.startReach(now, e.DataCentre)
	}
	n.digest.replace(old, e.Member)
	if old.Region != e.Region {
		e.vertex = newVertex(e.Host, e.Region)
	}
	n.noteChange(e, old.State.isGone() != r.State.isGone() || old.Region != e.Region)
}

// countReturn counts a return from Dead and applies flap damping.
func (e *entry) countReturn(now time.Time) {
	if now.Sub(e.lastReturn) > flapWindow {
		e.returns = 0
	}
	e.returns++
	e.lastReturn = now
	if e.returns < flapReturns {
		return
	}
	hold := flapHold << min(e.returns-flapReturns, 8)
	e.holdUntil = now.Add(min(hold, maxFlapHold))
}

// noteChange updates everything derived from a member after its record has changed,
// and adds an event.
func (n *Node) noteChange(e *entry, graphStale bool) {
	n.graphStale = n.graphStale || graphStale
	delete(n.suspected, e.Host)
	if e.State == Suspect {
		n.suspected[e.Host] = e
	}
	if !e.holdUntil.IsZero() {
		n.held[e.Host] = e
	}
	n.out.Changed = true
	n.addEvent(e.Member, e.State.String())
}

// refute answers a newer record about this router by announcing a higher
// incarnation. Such a record is either wrong, as when it says that this router is
// dead, or from an earlier run with a higher incarnation.
func (n *Node) refute(now time.Time, r Member) {
	if !r.newerThan(n.self) || n.self.State == Left {
		return
	}
	if r.Incarnation == maxIncarnation {
		return // no router starts with it, and messages with a higher one are invalid
	}
	n.self.Incarnation = r.Incarnation + 1
	n.announceSelf(now)
}

// queueUpdate queues the record of host for all neighbours except the one that it
// came from.
func (n *Node) queueUpdate(host, from string) {
	for _, l := range n.links {
		if l.host == from {
			continue
		}
		l.updates = slices.DeleteFunc(l.updates, func(x update) bool { return x.host == host })
		l.updates = append(l.updates, update{host, updateSends})
		l.urgent = true
	}
}

// record returns the current record of host.
func (n *Node) record(host string) (Member, bool) {
	if host == n.self.Host {
		return n.self, true
	}
	if e := n.table[host]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// takeUpdates returns as many queued records as fit into freeBytes. It removes those
// that have been sent updateSends times from the queue and moves the others to its
// end.
func (n *Node) takeUpdates(l *link, freeBytes int) []Member {
	var records []Member
	var requeued []update
	taken := 0
	for taken < len(l.updates) {
		item := l.updates[taken]
		r, known := n.record(item.host)
		r = r.short()
		if known && r.wireBytes() > freeBytes {
			break
		}
		taken++
		if !known {
			continue
		}
		freeBytes -= r.wireBytes()
		records = append(records, r)
		if item.sends > 1 {
			requeued = append(requeued, update{item.host, item.sends - 1})
		}
	}
	l.updates = append(slices.Clone(l.updates[taken:]), requeued...)
	l.urgent = taken > 0 && len(l.updates) > len(requeued)
	return records
}

// sweep forgets members that have been gone for ForgetAfter. Dead ones are still
// probed for lostLifetime.
func (n *Node) sweep(now time.Time) {
	for host, e := range n.table {
		if !e.State.isGone() || now.Sub(e.stateSince) < n.config.ForgetAfter {
			continue
		}
		if e.State == Dead {
			n.lost[host] = e.stateSince
		}
		delete(n.table, host)
		delete(n.held, host)
		n.out.Changed = true
	}
	for host, died := range n.lost {
		if now.Sub(died) > lostLifetime {
			delete(n.lost, host)
		}
	}
}
