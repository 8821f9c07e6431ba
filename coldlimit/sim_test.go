package coldlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/versioned"
)

const (
	simTick      = 10 * time.Millisecond
	simHeartbeat = 1200 * time.Millisecond
	// simLateness is how late an entry may report, beside the heartbeat.
	simLateness = time.Second
)

// simOptions describes a fleet with cold upstreams and what happens to it.
type simOptions struct {
	seed      uint64
	routers   int
	upstreams int
	demand    float64 // requests a second that each router has for these upstreams
	duration  time.Duration
	// disturbed adds cuts, pauses, kills, memberships that differ, clocks that differ,
	// late reports, a store that fails, loses responses and, once until an upstream is
	// warm again, a write, so that two routers hold its permit.
	disturbed bool
	// together: all routers join within 100 ms of the first report.
	together bool
	// once: one cold period an upstream, all from the same moment.
	once bool
}

// sim is a fleet of routers, a store and upstreams that become cold.
type sim struct {
	simOptions
	rng       *rand.Rand
	now       time.Time
	regions   map[string]string
	routers   []*simRouter
	upstreams []*simUpstream
	revision  int64
	objects   map[string]Object
	downUntil time.Time
	cold      *versioned.ColdReports
	registry  *versioned.Registry
	calls     int
	asked     int // requests
	refused   int
}

type simUpstream struct {
	id                string
	started           int64
	from, until       time.Time // of the current period
	period            int       // number of the current period; 0 before the first one
	reportAt          time.Time
	reportedPeriod    int
	seenAt            time.Time   // when the current period was first in a roster
	writeLost         bool        // since the upstream was last warm
	sent              []time.Time // in this period
	busiest           int         // most within a second of any period
	total             int
	used, couldHandle float64 // requests
}

type simRouter struct {
	self        Router
	table       *Table
	joinAt      time.Time
	offset      time.Duration // of its clock
	cutUntil    time.Time
	frozenUntil time.Time
	frozen      bool
	ready       []Router
	rosters     []simRoster // not received yet
	knows       map[string]int
	replies     []simReply
	waiting     []simSend
	runs        int
}

type simRoster struct {
	at      time.Time
	all     []catalog.Upstream
	periods map[string]int
}

type simReply struct {
	at     time.Time
	call   Call
	result Result
}

type simSend struct {
	at    time.Time
	id    string
	token *Token
}

func newSim(o simOptions) *sim {
	s := &sim{
		simOptions: o, rng: rand.New(rand.NewPCG(o.seed, 7)), now: time.UnixMilli(1_700_000_000_000),
		regions: map[string]string{"a": "x", "b": "x", "c": "y", "d": "y"}, objects: map[string]Object{}, revision: 1,
		cold: versioned.NewColdReports(), registry: versioned.NewRegistry(),
	}
	for i := range o.upstreams {
		u := &simUpstream{id: fmt.Sprintf("u-%d", i), started: 5, from: s.now.Add(2 * time.Second)}
		if !o.once {
			u.from = u.from.Add(s.upTo(2 * time.Second))
		}
		u.until = s.now
		s.upstreams = append(s.upstreams, u)
	}
	for i := range o.routers {
		dc := string(rune('a' + i%4))
		r := &simRouter{self: Router{Host: fmt.Sprintf("10.0.%d.%d", i/200, i%200), DataCentre: dc, Region: s.regions[dc]}, joinAt: s.now}
		if o.disturbed {
			r.offset = s.upTo(20*time.Second) - 10*time.Second
		}
		if o.together {
			r.joinAt = s.now.Add(2500*time.Millisecond + s.upTo(100*time.Millisecond))
		}
		s.start(r)
		s.routers = append(s.routers, r)
	}
	s.publish()
	return s
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Float64() * float64(d)) }

func (s *sim) chance(perSecond float64) bool { return s.rng.Float64() < perSecond*simTick.Seconds() }

func (s *sim) start(r *simRouter) {
	r.runs++
	r.table = New(r.self, fmt.Sprintf("%s/%d", r.self.Host, r.runs), testBounds, s.regions)
	r.knows, r.replies, r.waiting, r.rosters = map[string]int{}, nil, nil, nil
}

// publish makes the entries known to the routers.
func (s *sim) publish() {
	roster := simRoster{all: s.registry.Roster().All(), periods: map[string]int{}}
	for _, u := range s.upstreams {
		roster.periods[u.id] = u.reportedPeriod
	}
	for _, r := range s.routers {
		roster.at = s.now.Add(s.upTo(200 * time.Millisecond))
		r.rosters = append(r.rosters, roster)
	}
}

func (s *sim) run() {
	for end := s.now.Add(s.duration); s.now.Before(end); s.now = s.now.Add(simTick) {
		s.stepUpstreams()
		if s.disturbed && s.chance(0.2) {
			s.downUntil = s.now.Add(s.upTo(2 * time.Second))
		}
		for _, r := range s.routers {
			s.stepRouter(r)
		}
	}
	for _, u := range s.upstreams {
		s.account(u)
	}
}

// stepUpstreams lets upstreams become cold and write their entries.
func (s *sim) stepUpstreams() {
	changed := false
	for _, u := range s.upstreams {
		if !s.now.Before(u.from) && !s.now.Before(u.until) && !(s.once && u.period > 0) {
			s.account(u)
			u.period++
			u.from, u.until, u.seenAt = s.now, s.now.Add(3*time.Second), time.Time{}
			u.reportAt = s.now.Add(s.upTo(100 * time.Millisecond))
			if s.disturbed {
				u.reportAt = s.now.Add(s.upTo(simHeartbeat + simLateness))
			}
		}
		if s.now.Before(u.reportAt) {
			continue
		}
		u.reportAt = s.now.Add(simHeartbeat)
		u.reportedPeriod = u.period
		s.revision++
		left := max(u.until.Sub(s.now).Milliseconds(), 0)
		if left == 0 && u.from.Before(s.now) && s.disturbed { // the next period
			u.from = s.now.Add(s.upTo(time.Second))
		}
		if left == 0 {
			u.writeLost = false
		}
		if left > 0 && u.seenAt.IsZero() {
			u.seenAt = s.now
		}
		entry := catalog.Upstream{ID: u.id, Service: "s", Address: "10.1.0.1:80", DataCentre: "a", StartedMs: u.started, ColdReport: catalog.ColdReport{ColdLeftMs: left}}
		changed = s.registry.Put(s.cold.Observe(s.now, s.revision, s.registry.Get(u.id), entry)) || changed
		s.cold.Applied(s.revision)
	}
	if changed {
		s.publish()
	}
}

// account counts the requests of a period that ends, since it was reported.
func (s *sim) account(u *simUpstream) {
	first := 0
	for i, at := range u.sent {
		for at.Sub(u.sent[first]) >= time.Second {
			first++
		}
		u.busiest = max(u.busiest, i-first+1)
	}
	u.total += len(u.sent)
	if !u.seenAt.IsZero() {
		u.used += float64(len(u.sent))
		u.couldHandle += testLimits.PerSecond * u.until.Sub(u.seenAt).Seconds()
	}
	u.sent = nil
}

func (s *sim) stepRouter(r *simRouter) {
	if s.now.Before(r.joinAt) {
		return
	}
	if s.disturbed {
		s.disturb(r)
	}
	if s.now.Before(r.frozenUntil) {
		r.frozen = true
		return
	}
	now := s.now.Add(r.offset)
	if r.frozen {
		r.frozen = false
		r.table.Interrupt(now) // the guard of the process
	}
	cut := s.now.Before(r.cutUntil)
	for len(r.rosters) > 0 && !cut && !s.now.Before(r.rosters[0].at) {
		r.table.set(now, r.rosters[0].all...)
		r.knows = r.rosters[0].periods
		r.rosters = r.rosters[1:]
	}
	s.reply(r, now)
	if r.ready == nil || s.chance(1) {
		r.ready = s.view(r)
	}
	for _, c := range r.table.Step(now, r.ready) {
		s.call(r, c, cut)
	}
	s.send(r, now)
	s.demandOf(r, now)
}

// disturb cuts off, pauses or restarts a router now and then.
func (s *sim) disturb(r *simRouter) {
	switch {
	case s.chance(0.05):
		r.cutUntil = s.now.Add(s.upTo(4 * time.Second))
	case s.chance(0.05):
		r.frozenUntil = s.now.Add(s.upTo(4 * time.Second))
	case s.chance(0.03):
		s.start(r)
		r.rosters = []simRoster{{at: s.now, all: s.registry.Roster().All(), periods: s.periods()}}
	}
}

func (s *sim) periods() map[string]int {
	periods := map[string]int{}
	for _, u := range s.upstreams {
		periods[u.id] = u.reportedPeriod
	}
	return periods
}

// view returns the routers that a router knows to be ready.
func (s *sim) view(r *simRouter) []Router {
	var view []Router
	for _, other := range s.routers {
		if s.now.Before(other.joinAt) || other != r && s.disturbed && s.rng.Float64() < 0.5 {
			continue
		}
		view = append(view, other.self)
	}
	return view
}

func (s *sim) reply(r *simRouter, now time.Time) {
	r.replies = slices.DeleteFunc(r.replies, func(reply simReply) bool {
		if s.now.Before(reply.at) {
			return false
		}
		r.table.Completed(now, reply.call, reply.result)
		return true
	})
}

// demandOf assigns the requests that arrive at a router to upstreams.
func (s *sim) demandOf(r *simRouter, now time.Time) {
	for range int(r.perTick(s)) {
		s.asked++
		offset := s.rng.IntN(len(s.upstreams))
		assigned := false
		for i := range s.upstreams {
			u := s.upstreams[(i+offset)%len(s.upstreams)]
			if !r.table.Allows(now, u.id) {
				continue
			}
			assigned = true
			r.waiting = append(r.waiting, simSend{at: s.now.Add(s.upTo(30 * time.Millisecond)), id: u.id, token: r.table.Take(now, u.id)})
			break
		}
		if !assigned {
			s.refused++
		}
	}
}

// perTick returns the number of requests that arrive at a router in a tick.
func (r *simRouter) perTick(s *sim) float64 {
	mean := s.demand * simTick.Seconds()
	whole := float64(int(mean))
	if s.rng.Float64() < mean-whole {
		whole++
	}
	return whole
}

// send sends the requests that have got a connection. What a router sends that has not
// heard of a period does not count: nothing tells it that the upstream is cold.
func (s *sim) send(r *simRouter, now time.Time) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w simSend) bool {
		if s.now.Before(w.at) {
			return false
		}
		token, ok := r.table.MaySend(now, w.id, w.token)
		if !ok {
			r.table.GiveBack(now, token)
			return true
		}
		if u := s.find(w.id); s.now.Before(u.until) && u.period > 0 && r.knows[w.id] == u.period {
			u.sent = append(u.sent, s.now)
		}
		return true
	})
}

// busiest returns the most requests that an upstream got within any second of a period.
func (s *sim) busiest() int {
	most := 0
	for _, u := range s.upstreams {
		most = max(most, u.busiest)
	}
	return most
}

// use returns the part of what the cold upstreams could handle that they got.
func (s *sim) use() float64 {
	var used, could float64
	for _, u := range s.upstreams {
		used += u.used
		could += u.couldHandle
	}
	return used / could
}

// total returns the requests that cold upstreams got.
func (s *sim) total() int {
	total := 0
	for _, u := range s.upstreams {
		total += u.total
	}
	return total
}
