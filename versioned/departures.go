package versioned

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

const (
	// departureMemory is how long an instance that has left is remembered, and
	// maxDepartures how many are. Copies of the store are some seconds old; a release may
	// replace all upstreams of a deployment within minutes.
	departureMemory = 10 * time.Minute
	maxDepartures   = 4096
	// heldTime is how long after a restore an instance that has left stays out of use
	// although the store lists it. Upstreams and the platform write or remove their entries
	// within seconds. The limit matters for a live upstream whose departure this router
	// knows and whose entry nobody has marked as written in the new era.
	heldTime = time.Minute
)

// Departures remembers which instances have left, so that a store that comes back from a
// copy does not bring them back. Each router decides that for itself, as rosters hold what
// the store lists and nothing else. The zero value knows none. It does no I/O and is not
// safe for concurrent use.
type Departures struct {
	era        int64
	restoredAt time.Time            // begin of era; zero if it is the first one seen
	left       map[string]departure // by id
	inUse      *Roster              // nil before the first Observe
	held       map[string]int64     // start of the instances that the latest Filter left out, by id
}

// departure is when an instance has left.
type departure struct {
	startedMs int64
	at        time.Time
	era       int64
}

// Filter returns a listed roster without the entries that must not be used, and those of them
// that the Filter before did not leave out. Instances that have left in an earlier era are
// not used again unless their entry was written since, or they have started later.
func (d *Departures) Filter(now time.Time, era int64, listed *Roster) (usable *Roster, news []catalog.Upstream) {
	d.begin(now, era)
	if !now.Before(d.restoredAt.Add(heldTime)) {
		d.held = nil
		return listed, nil
	}
	before := d.held
	d.held = map[string]int64{}
	used := make([]catalog.Upstream, 0, len(listed.byID))
	for _, u := range listed.All() {
		if !d.isHeld(u) {
			used = append(used, u)
			continue
		}
		d.held[u.ID] = u.StartedMs
		if startedMs, known := before[u.ID]; !known || startedMs != u.StartedMs {
			news = append(news, u)
		}
	}
	if len(d.held) == 0 {
		return listed, nil
	}
	return NewRoster(used), news
}

// begin sets the era.
func (d *Departures) begin(now time.Time, era int64) {
	if era <= d.era {
		return
	}
	if d.inUse != nil {
		d.restoredAt = now
	}
	d.era = era
}

// isHeld reports whether an entry of an instance that has left is of the time before the
// restore.
func (d *Departures) isHeld(u catalog.Upstream) bool {
	if u.Draining {
		return false
	}
	if d.inUse != nil {
		if current, known := d.inUse.Get(u.ID); known && u.StartedMs < current.StartedMs {
			return u.WrittenEra < d.era // an earlier run of an upstream in use
		}
	}
	left, known := d.left[u.ID]
	switch {
	case !known || u.StartedMs > left.startedMs:
		return false
	case u.StartedMs < left.startedMs:
		return u.WrittenEra < d.era // an earlier run of the upstream that has left
	default:
		return left.era < d.era && u.WrittenEra <= left.era
	}
}

// Observe sets the upstreams in use, those that stay in use though missing among them.
func (d *Departures) Observe(now time.Time, inUse *Roster) {
	if d.left == nil {
		d.left = map[string]departure{}
	}
	if d.inUse != nil {
		for id, u := range d.inUse.byID {
			if !inUse.lists(id) && !u.Draining {
				d.left[id] = departure{u.StartedMs, now, d.era}
			}
		}
	}
	for id, u := range inUse.byID {
		left, known := d.left[id]
		switch {
		case !u.Draining:
			delete(d.left, id)
		case !known || u.StartedMs > left.startedMs:
			d.left[id] = departure{u.StartedMs, now, d.era}
		}
	}
	d.inUse = inUse
	d.forget(now)
}

// forget drops the oldest departures.
func (d *Departures) forget(now time.Time) {
	maps.DeleteFunc(d.left, func(_ string, left departure) bool { return now.Sub(left.at) > departureMemory })
	if len(d.left) <= maxDepartures {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(d.left), func(a, b string) int { return d.left[a].at.Compare(d.left[b].at) })
	for _, id := range byAge[:len(byAge)-maxDepartures] {
		delete(d.left, id)
	}
}

// Step advances the time. It reports whether entries that were left out may be used again,
// which another Filter then returns.
func (d *Departures) Step(now time.Time) (ended bool) {
	ended = len(d.held) > 0 && !now.Before(d.restoredAt.Add(heldTime))
	if ended {
		d.held = nil
	}
	return ended
}
