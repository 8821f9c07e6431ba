package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/placement"
)

const (
	// firstTrial is the time after the latest crash from which one request with a
	// barred part may be sent, to find out whether the part is sound now. Each failed
	// trial doubles the time, up to maxTrial.
	firstTrial = 30 * time.Second
	maxTrial   = 10 * time.Minute
	// trialTurn is the time for which one router may begin a trial before it is the
	// turn of another one. Nobody begins one within the last trialMargin of a turn,
	// since routers differ in when they think that it ends.
	trialTurn   = 3 * time.Second
	trialMargin = time.Second
)

// Verdict is what the evidence says about a request.
type Verdict struct {
	// Barred is set if the request must not be sent to any upstream, and Trial if it
	// may be sent nevertheless, as the only one in the fleet.
	Barred, Trial bool
	// NoRetry is set if the request must not be sent a second time.
	NoRetry bool
	// Part is the part with the most evidence against it, Crashes the number of
	// crashes that this is and LastCrash the age of the latest one.
	Part      string
	Crashes   int
	LastCrash time.Duration
}

// Check returns the verdict about a request of a service.
func (t *Table) Check(now time.Time, service string, parts []placement.Part) Verdict {
	var v Verdict
	if len(t.suspects) == 0 {
		return v
	}
	most := 0
	parts = candidates(parts)
	for _, part := range parts {
		k := keyOf(service, part.ID)
		s := t.suspects[k]
		if s == nil || s.expired(now) {
			continue
		}
		weight := s.weight()
		if weight < noRetryWeight || weight <= most || t.explained(k, s, parts) {
			continue
		}
		most = weight
		v = Verdict{
			NoRetry: true, Barred: weight >= barWeight,
			Part: k.Part, Crashes: len(s.open()), LastCrash: now.Sub(s.lastCrash()),
		}
		v.Trial = v.Barred && t.mayTry(now, k, s)
	}
	return v
}

// explained reports whether a part that the prompt does not have was in all crashes that
// are evidence against one that it has. Nothing then tells which of the two is to blame,
// and the request may show it.
func (t *Table) explained(k Key, s *suspect, parts []placement.Part) bool {
	for other, o := range t.suspects {
		if other.Service == k.Service && other.Part != k.Part && o.covers(s) && !contains(other, parts) {
			return true
		}
	}
	return false
}

// covers reports whether each open crash of another part is one of this part too.
func (s *suspect) covers(other *suspect) bool {
	for id, c := range other.crashes {
		if own := s.crashes[id]; !c.cleared && (own == nil || own.cleared || c.begun && !own.begun) {
			return false
		}
	}
	return true
}

func contains(k Key, parts []placement.Part) bool {
	for _, part := range parts {
		if keyOf(k.Service, part.ID) == k {
			return true
		}
	}
	return false
}

// SetRouters sets the hosts that take turns with trials, and which of them is this one.
func (t *Table) SetRouters(self string, ready []string) { t.self, t.ready = self, ready }

// trialDue returns the time from which a barred part may be tried.
func (s *suspect) trialDue() time.Time {
	wait := firstTrial
	for range s.trials {
		wait = min(2*wait, maxTrial)
	}
	last := s.lastCrash()
	if s.trialAt.After(last) {
		last = s.trialAt
	}
	return last.Add(wait)
}

// mayTry reports whether this router may begin a trial of a part.
func (t *Table) mayTry(now time.Time, k Key, s *suspect) bool {
	sinceDue := now.Sub(s.trialDue())
	if sinceDue < 0 || sinceDue%trialTurn > trialTurn-trialMargin {
		return false
	}
	turn := uint64(sinceDue / trialTurn)
	chosen, highest := "", uint64(0)
	for _, host := range t.ready {
		rank := xxhash.Sum64String(k.Service + "," + k.Part + "," + host)
		// The order of the routers changes from turn to turn.
		if rank = (rank ^ turn) * 0x9e3779b97f4a7c15; chosen == "" || rank > highest {
			chosen, highest = host, rank
		}
	}
	return chosen != "" && chosen == t.self
}

// BeginTrial records that a request is sent as a trial of its barred part.
func (t *Table) BeginTrial(now time.Time, service string, v Verdict) {
	if s := t.suspects[Key{service, v.Part}]; s != nil {
		s.trials++
		s.trialAt = now
		t.revision++
	}
}

// Change is a part that is barred from now on, or is no longer.
type Change struct {
	Key
	Barred    bool
	Crashes   int           // that are evidence against it
	LastCrash time.Duration // age of the latest one
	Trials    int
}

// Changes returns which parts were barred or freed since the previous call.
func (t *Table) Changes(now time.Time) []Change {
	var changes []Change
	for k, s := range t.suspects {
		if barred := s.weight() >= barWeight; barred != t.barred[k] {
			changes = append(changes, Change{Key: k, Barred: barred, Crashes: len(s.open()), LastCrash: now.Sub(s.lastCrash()), Trials: s.trials})
			t.barred[k] = barred
		}
	}
	for k, barred := range t.barred {
		if t.suspects[k] == nil && barred {
			changes = append(changes, Change{Key: k})
		}
		if t.suspects[k] == nil || !barred {
			delete(t.barred, k)
		}
	}
	return changes
}

// Counts returns the number of parts with open evidence and of those that are barred.
func (t *Table) Counts() (suspected, barred int) {
	for _, s := range t.suspects {
		weight := s.weight()
		if weight > 0 {
			suspected++
		}
		if weight >= barWeight {
			barred++
		}
	}
	return suspected, barred
}
