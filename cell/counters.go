package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
)

// A dispatcher copies its service counters to the backupCopies routers next in
// rank every backupInterval. One of them takes over when the dispatcher fails and
// needs the counters to stay fair.
const (
	backupInterval = time.Second
	backupCopies   = 2
)

// backup tracks which counters were sent to the routers next in rank.
type backup struct {
	next time.Time
	sent map[string]counters // as last sent, by host
}

// runBackup sends changed counters to the routers next in rank.
func (d *dispatcher) runBackup() {
	if !d.node.now.Before(d.backup.next) {
		d.backup.next = d.node.now.Add(backupInterval)
		d.sendBackups()
	}
	d.node.wakeAt(d.backup.next)
}

func (d *dispatcher) sendBackups() {
	current := counters(d.sched.Counters())
	sent := map[string]counters{}
	for _, host := range d.cellSpec.rank {
		if host == d.node.cfg.Host {
			continue
		}
		if len(sent) == backupCopies {
			break
		}
		if changed := current.changedSince(d.backup.sent[host]); len(changed) > 0 {
			d.sectionFor(host).Counters = changed
		}
		sent[host] = current
	}
	d.backup.sent = sent
}

// changedSince returns the counters that differ from those in old.
func (c counters) changedSince(old counters) counters {
	changed := counters{}
	for incarnation, workspaces := range c {
		for name, counter := range workspaces {
			if known, ok := old[incarnation][name]; ok && known == counter {
				continue
			}
			if changed[incarnation] == nil {
				changed[incarnation] = map[string]dispatch.Counter{}
			}
			changed[incarnation][name] = counter
		}
	}
	return changed
}

// storeCounters merges copies of the counters of a cell into the scheduler if
// this router is the dispatcher, else into the stored copies.
func (n *Node) storeCounters(cell string, c counters) {
	if d := n.dispatchers[cell]; d != nil {
		d.sched.MergeCounters(c)
		d.dirty = true
		return
	}
	n.counters[cell] = mergeCounters(n.counters[cell], c)
}

// attachCounters adds the stored counters of a cell to a message to its
// dispatcher, once per claim.
func (n *Node) attachCounters(cell string, s *section) {
	claim := n.claims[cell]
	if n.countersSentFor[cell] == claim || claim.Holder == n.cfg.Host || len(n.counters[cell]) == 0 {
		return
	}
	n.countersSentFor[cell] = claim
	s.Counters = mergeCounters(s.Counters, n.counters[cell])
}

// resyncSibling makes the dispatchers of this router send all counters to the new
// dispatcher of a sibling cell, with a summary that is due at once.
func (n *Node) resyncSibling(cell string) {
	for _, name := range sortedKeys(n.dispatchers) {
		d := n.dispatchers[name]
		if s := d.siblings[cell]; s != nil {
			s.unsentCounters = d.sched.Counters()
			s.lastSent = time.Time{}
			d.nextSummary = n.now
		}
	}
}
