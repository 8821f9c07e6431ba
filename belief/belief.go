// Package belief keeps what a router holds true about the rest of the system: the
// configuration and the upstreams. Each belief has a version that only rises, the
// source it came from and the time at which the store last confirmed it.
package belief

import (
	"sync"
	"time"
)

// Source tells where a belief came from.
type Source string

// Sources of beliefs.
const (
	Store Source = "store"
	Peer  Source = "peer"
)

// Held is one version of a belief.
type Held[T any] struct {
	Value   T
	Version int64
	Source  Source
	// Learned is when this version was taken.
	Learned time.Time
}

// Versioned holds the newest version of a belief. It is safe for concurrent use.
type Versioned[T any] struct {
	mu        sync.RWMutex
	held      Held[T]
	confirmed time.Time
	changed   chan struct{}
}

// NewVersioned returns a belief without a value; its version is 0.
func NewVersioned[T any]() *Versioned[T] {
	return &Versioned[T]{changed: make(chan struct{})}
}

// Offer takes value if its version is above the held one, and tells whether it
// did. Neither store nor peers can take a router back to an older version.
func (v *Versioned[T]) Offer(value T, version int64, source Source, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.held.Version {
		return false
	}
	v.held = Held[T]{Value: value, Version: version, Source: source, Learned: now}
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Get returns the held version.
func (v *Versioned[T]) Get() Held[T] {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.held
}

// Changed returns a channel that is closed when a newer version is taken.
func (v *Versioned[T]) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// Confirm notes that at the time at the store held nothing newer.
func (v *Versioned[T]) Confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

// Age returns how long ago the store last confirmed the belief, at most limit.
func (v *Versioned[T]) Age(now time.Time, limit time.Duration) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.confirmed.IsZero() {
		return limit
	}
	return min(max(now.Sub(v.confirmed), 0), limit)
}
