// Package versioned stores a router's current view of the configuration and of the
// upstreams. Each view has a version that never decreases, the source it came from
// and the time at which the store last confirmed it.
package versioned

import (
	"sync"
	"time"
)

// Source is where a version came from.
type Source string

// Sources of versions.
const (
	Store Source = "store"
	Peer  Source = "peer"
)

// Snapshot is one version of a value.
type Snapshot[T any] struct {
	Value   T
	Version int64
	Source  Source
	// ReceivedAt is when this version was stored.
	ReceivedAt time.Time
}

// Latest holds the newest version of a value. It is safe for concurrent use.
type Latest[T any] struct {
	mu          sync.RWMutex
	current     Snapshot[T]
	confirmedAt time.Time
	changed     chan struct{}
}

// NewLatest returns a Latest that holds nothing yet; its version is 0.
func NewLatest[T any]() *Latest[T] {
	return &Latest[T]{changed: make(chan struct{})}
}

// Update stores value if its version is newer than the current one, and reports
// whether it did. Neither the store nor other routers can set a router back to an
// older version.
func (v *Latest[T]) Update(value T, version int64, source Source, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.current.Version {
		return false
	}
	v.current = Snapshot[T]{Value: value, Version: version, Source: source, ReceivedAt: now}
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Get returns the current version.
func (v *Latest[T]) Get() Snapshot[T] {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.current
}

// Changed returns a channel that is closed when a newer version is stored.
func (v *Latest[T]) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// Confirm records that the store had nothing newer at the given time.
func (v *Latest[T]) Confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// Age returns how long ago the store last confirmed the current version, at most
// limit.
func (v *Latest[T]) Age(now time.Time, limit time.Duration) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.confirmedAt.IsZero() {
		return limit
	}
	return min(max(now.Sub(v.confirmedAt), 0), limit)
}
