package coldlimit

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// State is what a router knows of the permit for a cold upstream.
type State uint8

// States of a permit.
const (
	Wanted    State = iota // not requested yet
	Requested              // a call is in progress
	Unknown                // the outcome of a call is not known; the object has to be read
	Replacing              // the object belongs to an earlier period and is to be replaced
	Held                   // this router may send
	Refused                // another router holds it
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"wanted", "requested", "unknown", "replacing", "held", "refused"}[s]
}

const (
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
	// checkInterval is the time between checks whether this router is to request a permit.
	checkInterval = 100 * time.Millisecond
	// readDelay is the time until an object is read whose creation got no response.
	readDelay = 50 * time.Millisecond
	// demandWindow is how long a request that a cold upstream could have taken counts as
	// demand for it. Without demand no permit is requested: all upstreams of a deployment
	// that starts are cold before its first request.
	demandWindow = 500 * time.Millisecond
	// maxReleases bounds the attempts to remove an object. One that remains is replaced
	// in a later period.
	maxReleases = 4
)

// Object is a permit in the store.
type Object struct {
	Holder    string
	StartedMs int64 // of the instance
	Revision  int64
	// Version orders the object among the versions of lists; it also rises when the store
	// comes back from a copy.
	Version int64
}

// permit is this router's view of the permit for one cold period.
type permit struct {
	state   State
	object  Object // as stored; of this router if state is Held
	tryAt   time.Time
	backoff time.Duration
}

// renew adapts a permit to a new report of the upstream. One that was refused may be free
// by now, and one that is older than a warm period may have been replaced by another router.
func (p *permit) renew(now time.Time, u catalog.Upstream) {
	if (p.state == Refused || p.state == Held) && belongsToEarlier(p.object, u) {
		p.state, p.tryAt = Unknown, now
	}
}

// belongsToEarlier reports whether an object was created for an earlier run or an earlier
// cold period of an upstream. Versions are ordered, so an object with a lower
// one than that of a list which said "warm" is older than the current period.
func belongsToEarlier(o Object, u catalog.Upstream) bool {
	return o.StartedMs < u.StartedMs || o.StartedMs == u.StartedMs && o.Version < u.WarmVersion
}

// retry waits before the next call.
func (p *permit) retry(now time.Time, state State) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.state, p.tryAt = state, now.Add(p.backoff)
}

// release is a permit that is to be removed from the store.
type release struct {
	permit   Object
	tryAt    time.Time
	attempts int
	calling  bool
}

// withdrawRelease gives up the removal of a permit, which may become that of the next cold
// period.
func (t *Table) withdrawRelease(id string) {
	if r := t.releases[id]; r != nil && !r.calling {
		delete(t.releases, id)
	}
}

// Kind is a kind of call to the store.
type Kind uint8

// Kinds of calls.
const (
	Create  Kind = iota + 1 // create the object if there is none
	Read                    // read the object
	Replace                 // replace the object if it still has the revision
	Remove                  // remove the object if it still has the revision
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"unknown", "create", "read", "replace", "remove"}[k]
}

// Call is a call to the store about the permit for an upstream.
type Call struct {
	Kind     Kind
	Upstream string
	// Permit is the object to write; with Replace and Remove, Revision and Version are
	// those of the stored one.
	Permit Object
}

// Outcome is how a call ended.
type Outcome uint8

// Outcomes of calls.
const (
	Done     Outcome = iota + 1
	Conflict         // the object exists, or has another revision
	Missing          // there is no such object
	Lost             // no response: it may have taken effect or still do so
	Failed           // without an effect
)

// String returns the name used in metrics.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "conflict", "missing", "lost", "failed"}[o]
}

// Result is the outcome of a call and, with Done, the object as stored.
type Result struct {
	Outcome Outcome
	Stored  Object
}

// Change is a change of a permit's state, for the log.
type Change struct {
	Upstream string
	From, To State
	// Age is the time since the cold period began.
	Age time.Duration
}

// Step ends periods that are over and returns the calls that are to be made now. ready
// holds the live routers that accept requests, as this router knows them.
func (t *Table) Step(now time.Time, ready []Router) []Call {
	var calls []Call
	for _, id := range slices.Sorted(maps.Keys(t.spells)) {
		s := t.spells[id]
		if !now.Before(s.until) {
			if s.permit.state != Requested {
				t.end(now, id)
			}
			continue
		}
		if t.releases[id] != nil || now.Before(s.permit.tryAt) {
			continue
		}
		c := t.nextCall(now, s, ready)
		if c.Kind == 0 {
			s.permit.tryAt = now.Add(checkInterval)
			continue
		}
		s.permit.state = Requested
		calls = append(calls, c)
	}
	for _, id := range slices.Sorted(maps.Keys(t.releases)) {
		r := t.releases[id]
		if r.calling || now.Before(r.tryAt) {
			continue
		}
		r.calling = true
		r.attempts++
		calls = append(calls, Call{Kind: Remove, Upstream: id, Permit: r.permit})
	}
	return calls
}

// nextCall returns the call that the state of a permit asks for, the zero value for none.
func (t *Table) nextCall(now time.Time, s *spell, ready []Router) Call {
	c := Call{Upstream: s.upstream.ID, Permit: Object{Holder: t.holder, StartedMs: s.upstream.StartedMs}}
	switch s.permit.state {
	case Wanted:
		if now.Sub(s.wantedAt) < demandWindow && t.first(s.upstream, ready) == t.self.Host {
			c.Kind = Create
		}
	case Unknown:
		c.Kind = Read
	case Replacing:
		c.Kind, c.Permit.Revision, c.Permit.Version = Replace, s.permit.object.Revision, s.permit.object.Version
	}
	return c
}

// Completed records the result of a call. It returns the change of the permit's state and
// whether there was one.
func (t *Table) Completed(now time.Time, c Call, r Result) (Change, bool) {
	if c.Kind == Remove {
		t.removed(now, c.Upstream, r.Outcome)
		return Change{}, false
	}
	s := t.spells[c.Upstream]
	if s == nil || s.upstream.StartedMs != c.Permit.StartedMs || s.permit.state != Requested {
		// The period has ended meanwhile. What was created is removed again.
		if r.Outcome == Done && r.Stored.Holder == t.holder && t.releases[c.Upstream] == nil && s == nil {
			t.releases[c.Upstream] = &release{permit: r.Stored, tryAt: now}
		}
		return Change{}, false
	}
	s.permit.complete(now, t.holder, s.upstream, c, r)
	if s.permit.state == Held {
		s.pace.filledAt = now
	}
	return Change{Upstream: c.Upstream, From: Requested, To: s.permit.state, Age: now.Sub(s.began)}, true
}

// complete sets the state that follows from the result of a call.
func (p *permit) complete(now time.Time, holder string, u catalog.Upstream, c Call, r Result) {
	switch r.Outcome {
	case Done:
		p.backoff, p.object = 0, r.Stored
		switch {
		case c.Kind == Read && belongsToEarlier(r.Stored, u):
			p.state, p.tryAt = Replacing, now
		case r.Stored.Holder == holder:
			p.state = Held
		default:
			p.state = Refused
		}
	case Conflict:
		p.state, p.tryAt = Unknown, now
	case Missing:
		p.state, p.tryAt = Wanted, now
	case Lost:
		p.state, p.tryAt = Unknown, now.Add(readDelay)
	case Failed:
		p.retry(now, map[Kind]State{Create: Wanted, Read: Unknown, Replace: Replacing}[c.Kind])
	}
}

// removed records the result of removing a permit.
func (t *Table) removed(now time.Time, id string, o Outcome) {
	r := t.releases[id]
	if r == nil {
		return
	}
	r.calling, r.tryAt = false, now.Add(minBackoff<<r.attempts)
	if o != Lost && o != Failed || r.attempts >= maxReleases || t.spells[id] != nil {
		delete(t.releases, id)
	}
}

// Interrupt records that the process was paused or the store restored from a copy: permits
// that this router held may belong to others by now, so they are read again before they
// are used.
func (t *Table) Interrupt(now time.Time) {
	for _, s := range t.spells {
		if s.permit.state == Held {
			s.permit.state, s.permit.tryAt = Unknown, now
		}
	}
}

// Release ends all periods and returns the calls that remove this router's permits, for a
// router that exits.
func (t *Table) Release(now time.Time) []Call {
	for id := range t.spells {
		t.end(now, id)
	}
	return t.Step(now, nil)
}
