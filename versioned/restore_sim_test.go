package versioned

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/catalog"
)

const (
	simStep      = 100 * time.Millisecond
	simHeartbeat = 1200 * time.Millisecond
	simLease     = 3 * time.Second
	simRouters   = 4
	simWatchers  = 2 // of them; the others learn from those
	simUpstreams = 5
	// simSettle is the time without events after which routers agree with the store.
	simSettle = simLease + simHeartbeat + 2*MissingGrace
)

type simEntry struct {
	upstream catalog.Upstream
	revision int64
	lease    time.Time
}

// simStore is the part of a store that a copy holds, with its era.
type simStore struct {
	era, revision int64
	entries       map[string]simEntry
}

type simUpstream struct {
	startedMs int64
	alive     bool
	writesAt  time.Time
}

type simRouter struct {
	cut       bool // has no contact to the store and to the others
	written   Written
	retention Retention
	departed  Departures
	roster    *Roster
	era       int64 // of roster
	version   int64
	inUse     map[string]catalog.Upstream
	dropped   map[string]int64 // start of the latest instance that went out of use after its end
}

type simulation struct {
	t         *rapid.T
	now       time.Time
	store     simStore
	copies    []simStore // the latest last
	upstreams [simUpstreams]simUpstream
	routers   [simRouters]simRouter
}

func simVersion(era, revision int64) int64 { return era<<40 + revision }

func (s *simulation) write(i int) {
	u := &s.upstreams[i]
	id := fmt.Sprint("u", i)
	s.store.revision++
	s.store.entries[id] = simEntry{
		catalog.Upstream{ID: id, Service: "s", Address: id, StartedMs: u.startedMs}, s.store.revision, s.now.Add(simLease),
	}
	u.writesAt = s.now.Add(simHeartbeat)
}

func (s *simulation) event() {
	i := rapid.IntRange(0, simUpstreams-1).Draw(s.t, "upstream")
	switch rapid.IntRange(0, 30).Draw(s.t, "event") {
	case 0, 1:
		s.upstreams[i].alive = false
	case 2, 3:
		if !s.upstreams[i].alive {
			s.upstreams[i] = simUpstream{startedMs: s.now.UnixMilli(), alive: true}
		}
	case 4:
		r := &s.routers[rapid.IntRange(0, simRouters-1).Draw(s.t, "router")]
		r.cut = !r.cut
	case 5:
		s.routers[rapid.IntRange(0, simRouters-1).Draw(s.t, "router")] = simRouter{dropped: map[string]int64{}} // a new process
	case 6:
		s.restore(s.copies[rapid.IntRange(0, len(s.copies)-1).Draw(s.t, "copy")])
	}
}

func (s *simulation) restore(from simStore) {
	era := s.store.era + 1
	s.store = simStore{era, from.revision, maps.Clone(from.entries)}
	for id, e := range s.store.entries {
		e.lease = s.now.Add(simLease)
		s.store.entries[id] = e
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for i := range s.upstreams {
		if u := &s.upstreams[i]; u.alive && !s.now.Before(u.writesAt) {
			s.write(i)
		}
	}
	maps.DeleteFunc(s.store.entries, func(_ string, e simEntry) bool {
		expired := s.now.After(e.lease)
		if expired {
			s.store.revision++
		}
		return expired
	})
	if s.now.UnixMilli()%1000 == 0 {
		s.copies = append(s.copies, simStore{revision: s.store.revision, entries: maps.Clone(s.store.entries)})
		s.copies = s.copies[max(0, len(s.copies)-6):]
	}
	for i := range s.routers {
		if i < simWatchers {
			s.list(&s.routers[i])
		} else {
			s.fetch(&s.routers[i], &s.routers[rapid.IntRange(0, simWatchers-1).Draw(s.t, "watcher")])
		}
	}
}

// list applies what the store lists to a router that watches it.
func (s *simulation) list(r *simRouter) {
	if r.cut {
		return
	}
	r.written.Listed(s.store.era, s.store.revision, r.roster, r.era)
	var all []catalog.Upstream
	for _, e := range s.store.entries {
		all = append(all, r.written.Mark(e.upstream, e.revision))
	}
	s.apply(r, NewRoster(all), s.store.era, simVersion(s.store.era, s.store.revision))
}

// fetch applies the roster of a router that watches the store to one that does not.
func (s *simulation) fetch(r, from *simRouter) {
	if r.cut || from.cut || from.roster == nil {
		return
	}
	s.apply(r, from.roster, from.era, from.version)
}

// apply sets the roster of a router as package gateway does, and checks that no instance
// comes back that went out of use after its end.
func (s *simulation) apply(r *simRouter, roster *Roster, era, version int64) {
	contact := StoreContact{ConfirmedAt: s.now}
	if version > r.version {
		if r.roster != nil && era > r.era {
			r.retention.Restore(s.now)
		}
		r.roster, r.era, r.version = roster, era, version
	}
	r.departed.Step(s.now)
	r.retention.Step(s.now, contact)
	usable, _ := r.departed.Filter(s.now, r.era, r.roster)
	r.retention.List(s.now, usable)
	inUse := r.retention.Roster()
	r.departed.Observe(s.now, inUse)
	for id, before := range r.inUse {
		if now, known := inUse.Get(id); (!known || now.StartedMs != before.StartedMs) && !s.lives(before) {
			r.dropped[id] = max(r.dropped[id], before.StartedMs)
		}
	}
	for id, u := range inUse.byID {
		if startedMs, known := r.dropped[id]; known && u.StartedMs <= startedMs {
			s.t.Fatalf("%v, era %d: %s of %d is in use again after its end", s.now, r.era, id, u.StartedMs)
		}
	}
	r.inUse = maps.Clone(inUse.byID)
}

func (s *simulation) lives(u catalog.Upstream) bool {
	for i, known := range s.upstreams {
		if u.ID == fmt.Sprint("u", i) {
			return known.alive && known.startedMs == u.StartedMs
		}
	}
	return false
}

// Over random restores, kills, starts, cut routers and routers that start anew, no
// router may use an instance again that went out of use after its end, and once nothing
// happens any more all routers must use what the store lists: all upstreams that live.
func TestRestoresOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: start, store: simStore{era: rapid.Int64Range(0, 3).Draw(t, "era"), entries: map[string]simEntry{}}}
		s.copies = []simStore{{entries: map[string]simEntry{}}}
		for i := range s.upstreams {
			s.upstreams[i] = simUpstream{startedMs: start.UnixMilli(), alive: true}
		}
		for i := range s.routers {
			s.routers[i].dropped = map[string]int64{}
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			s.event()
			s.step()
		}
		for i := range s.routers {
			s.routers[i].cut = false
		}
		for range simSettle / simStep {
			s.step()
		}
		live := map[string]bool{}
		for i, u := range s.upstreams {
			if u.alive {
				live[fmt.Sprint("u", i)] = true
			}
		}
		for i, r := range s.routers {
			used := map[string]bool{}
			for id := range r.inUse {
				used[id] = true
			}
			if !maps.Equal(live, used) {
				t.Fatalf("router %d uses %v, live are %v", i, used, live)
			}
		}
	})
}
