package gateway

import (
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/versioned"
)

const (
	// evacuationGrace is how long an evacuation that was in force stays so after the store
	// came back from a copy that lacks it. The operator writes it again within seconds.
	evacuationGrace = 10 * time.Second
	// retainedInterval is the time between checks whether the grace period is over.
	retainedInterval = 100 * time.Millisecond
)

// retainedEvacuations decides which evacuations are in force after the store came back from
// a copy. It is safe for concurrent use.
type retainedEvacuations struct {
	// confirmedAt returns when the store last confirmed its versions to any router.
	confirmedAt func(now time.Time) time.Time

	mu    sync.Mutex
	names versioned.Names
	// adopted holds the names that another router retains, and until when.
	adopted    []string
	adoptedEnd time.Time
}

func newRetainedEvacuations() *retainedEvacuations {
	return &retainedEvacuations{names: versioned.Names{Grace: evacuationGrace}}
}

// update applies a version of what the store lists and advances the time. It returns the
// evacuations in force, and those that are so only because of the grace period.
func (r *retainedEvacuations) update(now time.Time, current versioned.Snapshot[versioned.Evacuations]) (inForce versioned.Evacuations, retained []string) {
	confirmedAt := r.confirmedAt(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if current.Version > 0 {
		r.names.List(now, platform.EraOf(current.Version), current.Value.Names())
		r.names.Adopt(r.adopted, r.adoptedEnd)
		r.adopted = nil
	}
	r.names.Step(now, confirmedAt)
	return versioned.NewEvacuations(r.names.InForce()...), r.names.Retained()
}

// adopt records the names that another router retains for some time, for a router that has
// just started and therefore retains none itself.
func (r *retainedEvacuations) adopt(now time.Time, names []string, left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.names.Known() && len(names) > 0 {
		r.adopted, r.adoptedEnd = names, now.Add(min(left, evacuationGrace))
	}
}

// retained returns the names that are in force only because of the grace period, and how
// long it lasts.
func (r *retainedEvacuations) retained(now time.Time) (names []string, left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names.Retained(), r.names.GraceLeft(now)
}

// wait returns a channel that delivers the next time to update, nil if there is nothing to
// wait for.
func (r *retainedEvacuations) wait(retained []string) <-chan time.Time {
	if len(retained) == 0 {
		return nil
	}
	return time.After(retainedInterval)
}
