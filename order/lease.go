package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// writeAttempts bounds the retries of one write. A lease that could not be
// renewed is tried again by the next call.
const writeAttempts = 3

// Lease is the right to order the engines of one group. It is safe for
// concurrent use.
type Lease struct {
	objects objectapi.Objects
	name    string

	// writing is held during calls to the object API, mu only for the state: a
	// slow object API must not delay the check before an order.
	writing sync.Mutex
	mu      sync.Mutex
	state   leaseState
}

// NewLease returns a lease that is stored as name; holder is this router.
func NewLease(objects objectapi.Objects, name, holder string, timing Timing) *Lease {
	return &Lease{objects: objects, name: name, state: leaseState{timing: timing.withDefaults(), holder: holder}}
}

// Acquire makes one attempt to take the lease; call it again after a while,
// because a lease without renewals is taken only after it has been watched for
// its term. Errors: ErrHeld, ErrUnavailable.
func (l *Lease) Acquire(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	if err := l.read(ctx); err != nil {
		return err
	}
	before, ok := l.prepare(time.Now())
	if !ok {
		return eris.Wrapf(ErrHeld, "by %s", before.value.Holder)
	}
	started := time.Now()
	version, err := l.write(ctx, before.seen.Version, before.next())
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.acquired(version, before.free(), before.seenAt, started, time.Now())
	return nil
}

// prepare starts a new claim if the lease may be taken at now.
func (l *Lease) prepare(now time.Time) (leaseState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.acquirable(now) {
		return l.state, false
	}
	l.state.held = false
	l.state.claim = uuid.New()
	l.state.serial++
	return l.state, true
}

// Renew extends the lease. Errors: ErrNotHeld when another router took it or it
// ran out; ErrUnavailable, after which the lease holds until its term ends.
func (l *Lease) Renew(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	before := l.number()
	started := time.Now()
	if _, err := before.fence(started, true); err != nil {
		return err
	}
	version, err := l.write(ctx, before.seen.Version, before.next())
	if errors.Is(err, ErrHeld) {
		l.lose()
		return eris.Wrap(ErrNotHeld, err.Error())
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.renewed(version, started, time.Now())
	return nil
}

// number returns the state with a new serial for the next write.
func (l *Lease) number() leaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.serial++
	return l.state
}

// Release gives up the lease. The release is stored only when no order can be in
// flight, because a released lease can be taken at once. When it is not stored,
// the lease counts as lost here and a successor waits for its term. Errors:
// ErrNotHeld, ErrUnavailable.
func (l *Lease) Release(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	before := l.number()
	l.lose()
	if !before.held {
		return eris.Wrap(ErrNotHeld, "release")
	}
	if !before.releasable(time.Now()) {
		return nil
	}
	released := before.next()
	released.Released = true
	_, err := l.write(ctx, before.seen.Version, released)
	if errors.Is(err, ErrHeld) {
		return eris.Wrap(ErrNotHeld, err.Error())
	}
	return err
}

// Fence returns the fencing token for an order that starts at now, which has to
// come from time.Now, and that ends within Timing.LongestOrder. Call it right
// before each order. Errors: ErrNotHeld, and ErrWaiting for upstreams that do not
// check tokens.
func (l *Lease) Fence(now time.Time, checksFencing bool) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	token, err := l.state.fence(now, checksFencing)
	if err == nil {
		l.state.ordered(now)
	}
	return token, err
}

// deadline is the end of an order that starts at now.
func (l *Lease) deadline(now time.Time) time.Time {
	return now.Add(l.snapshot().timing.LongestOrder)
}

func (l *Lease) snapshot() leaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.held = false
}

// read takes the current lease object into the state.
func (l *Lease) read(ctx context.Context) error {
	found, err := l.objects.Get(ctx, l.name)
	if errors.Is(err, objectapi.ErrNotFound) {
		found, err = objectapi.Object{}, nil
	}
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.observe(found, time.Now())
}

// write stores value at version and returns the new version. Errors: ErrHeld when
// another router wrote, ErrUnavailable.
func (l *Lease) write(ctx context.Context, version int64, value leaseValue) (int64, error) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return 0, eris.Wrap(err, "encode lease")
	}
	for range writeAttempts {
		written, putErr := l.objects.Put(ctx, l.name, encoded, version)
		if putErr == nil {
			return written.Version, nil
		}
		err = putErr
		if !errors.Is(err, objectapi.ErrOutcomeUnknown) && !errors.Is(err, objectapi.ErrConflict) {
			break
		}
		done, readErr := l.readBack(ctx, version, value)
		if done || readErr != nil {
			return l.snapshot().seen.Version, readErr
		}
		version = max(version, l.snapshot().seen.Version)
	}
	return 0, eris.Wrap(ErrUnavailable, err.Error())
}

// readBack tells whether a write on top of version took effect. It may be tried
// again when nobody wrote, or only an earlier write of the same claim did.
func (l *Lease) readBack(ctx context.Context, version int64, value leaseValue) (done bool, err error) {
	if err := l.read(ctx); err != nil {
		return false, err
	}
	after := l.snapshot()
	switch {
	case after.seen.Version <= version:
		return false, nil
	case after.value == value:
		return true, nil
	case after.value.Claim == value.Claim:
		return false, nil
	default:
		return false, eris.Wrapf(ErrHeld, "by %s", after.value.Holder)
	}
}

// Keep acquires the lease and renews it until ctx ends; then it releases the
// lease. It makes a call every third of the term, so that two renewals may fail.
func (l *Lease) Keep(ctx context.Context) {
	ticker := time.NewTicker(l.snapshot().timing.Term / 3)
	defer ticker.Stop()
	for {
		if err := l.Renew(ctx); errors.Is(err, ErrNotHeld) {
			_ = l.Acquire(ctx) // the next round tries again
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			l.releaseAtEnd(context.WithoutCancel(ctx))
			return
		}
	}
}

func (l *Lease) releaseAtEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.snapshot().timing.Drift)
	defer cancel()
	_ = l.Release(ctx) // a successor otherwise waits for the term
}
