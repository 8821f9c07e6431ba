package versioned

import (
	"maps"
	"slices"
	"time"
)

// Names decides which names of a set that the operator keeps in the store are in force,
// such as evacuated data centres. A name that the store lists is in force, and one that it
// no longer lists is not. After the store came back from a copy, the names that were in
// force and that the copy lacks stay in force until the operator has had the time to write
// them again. Each router retains them for itself. The zero value holds no names. It does no
// I/O and is not safe for concurrent use.
type Names struct {
	// Grace is how long names that the copy lacks stay in force.
	Grace time.Duration

	known    bool // List was called
	era      int64
	listed   map[string]bool
	retained map[string]bool
	graceEnd time.Time
}

// List sets the names that the store lists in an era and reports whether the names in force
// have changed. Lists of earlier eras are ignored.
func (n *Names) List(now time.Time, era int64, names []string) (changed bool) {
	if era < n.era {
		return false
	}
	before := n.InForce()
	if era > n.era && n.known {
		n.graceEnd = now.Add(n.Grace)
		n.retained = map[string]bool{}
		for _, name := range before {
			n.retained[name] = true
		}
	}
	n.known, n.era, n.listed = true, era, map[string]bool{}
	for _, name := range names {
		n.listed[name] = true
		delete(n.retained, name) // from here on its removal is the operator's
	}
	return !slices.Equal(before, n.InForce())
}

// Step advances the time and returns the names that are no longer in force. That takes a
// confirmation of the store after the grace period: one that has not answered since may have
// kept the operator from writing.
func (n *Names) Step(now, confirmedAt time.Time) (ended []string) {
	if len(n.retained) == 0 || now.Before(n.graceEnd) || confirmedAt.Before(n.graceEnd) {
		return nil
	}
	ended = n.Retained()
	n.retained = nil
	return ended
}

// Adopt keeps names in force until a time though the store does not list them, because
// another router does.
func (n *Names) Adopt(names []string, until time.Time) {
	for _, name := range names {
		if n.listed[name] {
			continue
		}
		if n.retained == nil {
			n.retained = map[string]bool{}
		}
		n.retained[name] = true
		if until.After(n.graceEnd) {
			n.graceEnd = until
		}
	}
}

// Known reports whether the store has listed the names.
func (n *Names) Known() bool { return n.known }

// GraceLeft returns for how long retained names stay in force at least.
func (n *Names) GraceLeft(now time.Time) time.Duration { return max(n.graceEnd.Sub(now), 0) }

// InForce returns the names in force, sorted.
func (n *Names) InForce() []string {
	all := maps.Clone(n.listed)
	if all == nil {
		return nil
	}
	maps.Copy(all, n.retained)
	return slices.Sorted(maps.Keys(all))
}

// Retained returns the names that are in force though the store does not list them, sorted.
func (n *Names) Retained() []string { return slices.Sorted(maps.Keys(n.retained)) }
