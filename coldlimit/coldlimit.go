// Package coldlimit decides which router may send requests to a cold upstream, and when.
// Of all routers one holds a permit, which is an object in the platform's store, and sends
// at a bounded rate; the others leave the upstream alone until it is warm. The package
// does no I/O and takes the time as an argument. Types are not safe for concurrent use.
package coldlimit

import (
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

const (
	// rateRatio is the part of what a cold upstream can handle that the holder of its
	// permit sends, so that two holders together stay below the usual bounds.
	rateRatio = 0.85
	// burst is the number of requests that the holder may send at once. With 1, time in
	// which no request arrives while a token waits is lost: a holder with 30 requests a
	// second uses 0.59 of what the upstream can handle, and 0.74 with 2.
	burst = 2
	// spare is what the holder may send within any second beside the rate. It is below
	// the burst, so that two holders cannot reach 21 requests.
	spare = 1
	// maxClockError bounds the difference between the clocks of a router and of an
	// upstream. An instance that started longer ago than that and its cold time is not
	// new, although this router has not seen it before.
	maxClockError = 10 * time.Second
)

// Bounds limits the requests that a cold upstream gets within any second to Excess x the
// rate that it can handle + Slack.
type Bounds struct{ Excess, Slack float64 }

// Router is a router that is ready for requests.
type Router struct{ Host, DataCentre, Region string }

// Table holds the cold upstreams of all services, as one router knows them, and the
// permits of this router.
type Table struct {
	self     Router
	holder   string // of this router's permits; another one after each start
	bounds   Bounds
	regions  map[string]string   // region by data centre
	services map[string]*service // by name; those with cold limits
	spells   map[string]*spell   // by upstream; at most one each
	releases map[string]*release // by upstream
}

// service holds the upstreams of a service as they were listed last.
type service struct {
	known map[string]knownUpstream // by id
	// list is the number of the latest list.
	list int
}

// knownUpstream is an upstream with the number of the latest list that has it.
type knownUpstream struct {
	catalog.Upstream
	list int
}

// spell is a cold period of an instance.
type spell struct {
	upstream catalog.Upstream
	service  string
	began    time.Time
	until    time.Time
	permit   permit
	pace     pace
	// wantedAt is when a request of this router would last have used the upstream.
	wantedAt time.Time
}

// New returns a table without upstreams. holder is an id of this run of the router, which
// no other run has; regions maps data centres to their regions.
func New(self Router, holder string, bounds Bounds, regions map[string]string) *Table {
	return &Table{
		self: self, holder: holder, bounds: bounds, regions: regions,
		services: map[string]*service{}, spells: map[string]*spell{}, releases: map[string]*release{},
	}
}

// Began describes a cold period that has begun or was found to last longer.
type Began struct {
	Upstream, Service string
	Left              time.Duration
	Longer            bool
}

// SetUpstreams replaces the upstreams of a service with cold limits, and returns which of
// them have become cold. Instances in its first list are warm unless their entries say
// otherwise; later ones are cold for the time that the limits say.
func (t *Table) SetUpstreams(now time.Time, name string, limits catalog.ColdLimits, upstreams []catalog.Upstream) (began []Began) {
	s, listed := t.services[name]
	if !listed {
		s = &service{known: make(map[string]knownUpstream, len(upstreams))}
		t.services[name] = s
	}
	s.list++
	for _, u := range upstreams {
		before, seen := s.known[u.ID]
		s.known[u.ID] = knownUpstream{u, s.list}
		sameRun := seen && before.SameInstance(u)
		switch {
		case u.ColdLeftMs > 0 && !(sameRun && before.ColdReport == u.ColdReport):
			began = append(began, t.begin(now, name, limits, u, u.Left()))
		case u.ColdLeftMs > 0:
		case sameRun && before.ColdLeftMs > 0:
			t.end(now, u.ID)
		case listed && !sameRun && startedLately(now, u, limits):
			began = append(began, t.begin(now, name, limits, u, limits.Start))
		}
	}
	for id, u := range s.known {
		if u.list == s.list {
			continue
		}
		delete(s.known, id)
		if current := t.spells[id]; current != nil && current.service == name {
			t.end(now, id)
		}
	}
	return began
}

// KeepServices ends the cold periods of services that have no cold limits any more.
func (t *Table) KeepServices(now time.Time, keep func(name string) bool) {
	for name, s := range t.services {
		if keep(name) {
			continue
		}
		for id := range s.known {
			t.end(now, id)
		}
		delete(t.services, name)
	}
}

// startedLately reports whether an instance may have started within the cold time.
func startedLately(now time.Time, u catalog.Upstream, limits catalog.ColdLimits) bool {
	return u.StartedMs == 0 || now.Sub(time.UnixMilli(u.StartedMs)) < limits.Start+maxClockError
}

// begin starts the cold period of an instance, or lengthens the one in progress.
func (t *Table) begin(now time.Time, service string, limits catalog.ColdLimits, u catalog.Upstream, left time.Duration) Began {
	s := t.spells[u.ID]
	longer := s != nil && s.upstream.SameInstance(u)
	if !longer {
		fresh := &spell{service: service, began: now, pace: newPace(now, limits, t.bounds)}
		if s != nil {
			fresh.pace = s.pace // what was sent within the last second counts on
		}
		s = fresh
		t.spells[u.ID] = s
		t.withdrawRelease(u.ID)
	}
	s.upstream = u
	if until := now.Add(left); until.After(s.until) {
		s.until = until
	}
	s.permit.renew(now, u)
	return Began{Upstream: u.ID, Service: service, Left: left, Longer: longer}
}

// end ends the cold period of an upstream.
func (t *Table) end(now time.Time, id string) {
	s := t.spells[id]
	if s == nil {
		return
	}
	delete(t.spells, id)
	if s.permit.state == Held {
		t.releases[id] = &release{permit: s.permit.object, tryAt: now}
	}
}

// cold returns the cold period of an upstream, nil if it is warm.
func (t *Table) cold(now time.Time, id string) *spell {
	s := t.spells[id]
	if s == nil || !now.Before(s.until) {
		return nil
	}
	return s
}

// Counts returns the number of cold upstreams, and of those that this router may send to.
func (t *Table) Counts(now time.Time) (cold, held int) {
	for _, s := range t.spells {
		if !now.Before(s.until) {
			continue
		}
		cold++
		if s.permit.state == Held {
			held++
		}
	}
	return cold, held
}

// Idle reports whether there is nothing to do in Step.
func (t *Table) Idle() bool { return len(t.spells) == 0 && len(t.releases) == 0 }
