package fake

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// Default limits of the fake object API.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000

	// watchLimit is the server-side timeout of one long poll.
	watchLimit = 30 * time.Second
)

// Objects is a fake, in-memory object API. It implements objectapi.Objects for
// use in-process and http.Handler for other processes.
type Objects struct {
	mu       sync.Mutex
	stored   map[string]*storedObject
	changed  chan struct{} // closed and replaced when pending watches must check again
	faults   ObjectFaults
	counters ObjectCounters
	writes   *rate.Limiter
	reads    *rate.Limiter
	random   *rand.Rand
}

// storedObject is an object with its previous version, for stale reads.
type storedObject struct {
	current  objectapi.Object
	previous objectapi.Object
}

var _ objectapi.Objects = (*Objects)(nil)

// NewObjects returns an empty object API with the default rate limits. Seed
// determines which calls are hit by faults.
func NewObjects(seed uint64) *Objects {
	o := &Objects{
		stored:  make(map[string]*storedObject),
		changed: make(chan struct{}),
		faults:  ObjectFaults{WritesPerSecond: DefaultWritesPerSecond, ReadsPerSecond: DefaultReadsPerSecond},
		random:  rand.New(rand.NewPCG(seed, 0)),
	}
	o.setLimits()
	return o
}

// Get implements objectapi.Objects.
func (o *Objects) Get(ctx context.Context, name string) (objectapi.Object, error) {
	return o.call(ctx, objectapi.ErrUnavailable, func() (objectapi.Object, error) { return o.read(name) })
}

// Put implements objectapi.Objects. A write takes effect even if its caller has
// given up, as over a network.
func (o *Objects) Put(ctx context.Context, name string, value []byte, ifVersion int64) (objectapi.Object, error) {
	value = bytes.Clone(value)
	return o.call(ctx, objectapi.ErrOutcomeUnknown, func() (objectapi.Object, error) { return o.write(name, value, ifVersion) })
}

// Watch implements objectapi.Objects.
func (o *Objects) Watch(ctx context.Context, name string, after int64) (objectapi.Object, error) {
	for {
		found, ok, err := o.longPoll(ctx, name, after)
		if ok || err != nil {
			return found, err
		}
	}
}

// call runs serve with half of the injected latency before and half after it.
func (o *Objects) call(ctx context.Context, onTimeout error, serve func() (objectapi.Object, error)) (objectapi.Object, error) {
	if ctx.Err() != nil {
		return objectapi.Object{}, eris.Wrap(objectapi.ErrUnavailable, ctx.Err().Error())
	}
	latency := o.latency()
	if latency == 0 {
		return serve()
	}
	type result struct {
		object objectapi.Object
		err    error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(latency / 2)
		object, err := serve()
		time.Sleep(latency - latency/2)
		done <- result{object, err}
	}()
	select {
	case r := <-done:
		return r.object, r.err
	case <-ctx.Done():
		return objectapi.Object{}, eris.Wrap(onTimeout, ctx.Err().Error())
	}
}

func (o *Objects) read(name string) (objectapi.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Reads++
	if err := o.admit(o.reads); err != nil {
		return objectapi.Object{}, err
	}
	found, ok := o.stored[name]
	if ok && o.faultApplies(&o.faults.StaleNext, o.faults.StaleFraction) {
		o.counters.Stale++
		return staleObject(found.previous)
	}
	if !ok {
		return objectapi.Object{}, eris.Wrapf(objectapi.ErrNotFound, "get %s", name)
	}
	return clone(found.current), nil
}

func (o *Objects) write(name string, value []byte, ifVersion int64) (objectapi.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Writes++
	if len(value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, eris.Wrapf(objectapi.ErrTooLarge, "put %s with %d bytes", name, len(value))
	}
	if err := o.admit(o.writes); err != nil {
		return objectapi.Object{}, err
	}
	if o.faultApplies(&o.faults.DropNext, 0) {
		o.counters.Dropped++
		return objectapi.Object{}, eris.Wrap(objectapi.ErrOutcomeUnknown, "injected fault: request lost")
	}
	if o.faultApplies(&o.faults.DelayNext, o.faults.DelayFraction) {
		o.counters.Delayed++
		o.writeLater(name, value, ifVersion)
		return objectapi.Object{}, eris.Wrap(objectapi.ErrOutcomeUnknown, "injected fault: connection aborted, write delayed")
	}
	written, err := o.store(name, value, ifVersion)
	if err == nil && o.faultApplies(&o.faults.LoseNext, o.faults.LoseFraction) {
		o.counters.Lost++
		return objectapi.Object{}, eris.Wrap(objectapi.ErrOutcomeUnknown, "injected fault: response lost")
	}
	return written, err
}

// writeLater applies a write after DelayMillis, when its sender has already
// received an error.
func (o *Objects) writeLater(name string, value []byte, ifVersion int64) {
	delay := time.Duration(o.faults.DelayMillis) * time.Millisecond
	time.AfterFunc(delay, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		_, _ = o.store(name, value, ifVersion)
	})
}

// store applies a conditional update. The caller must hold o.mu.
func (o *Objects) store(name string, value []byte, ifVersion int64) (objectapi.Object, error) {
	found, ok := o.stored[name]
	if !ok {
		found = &storedObject{}
	}
	if found.current.Version != ifVersion {
		o.counters.Conflicts++
		return objectapi.Object{}, eris.Wrapf(objectapi.ErrConflict, "put %s at version %d, have %d", name, ifVersion, found.current.Version)
	}
	found.previous = found.current
	found.current = objectapi.Object{Name: name, Version: ifVersion + 1, Value: value}
	o.stored[name] = found
	o.counters.BytesWritten += int64(len(value))
	o.notifyWatches()
	return clone(found.current), nil
}

// longPoll is one long poll of a watch. It returns false on timeout.
func (o *Objects) longPoll(ctx context.Context, name string, after int64) (objectapi.Object, bool, error) {
	if err := o.startWatch(); err != nil {
		return objectapi.Object{}, false, err
	}
	defer o.endWatch()
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		found, changed, err := o.checkObject(name, after)
		if err != nil || changed == nil {
			return found, err == nil, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return objectapi.Object{}, false, nil
		case <-ctx.Done():
			return objectapi.Object{}, false, ctx.Err()
		}
	}
}

// checkObject returns the object if it is newer than after, or else a channel that
// is closed on the next change.
func (o *Objects) checkObject(name string, after int64) (objectapi.Object, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Outage {
		return objectapi.Object{}, nil, eris.Wrap(objectapi.ErrUnavailable, "outage")
	}
	found, ok := o.stored[name]
	if !ok {
		return objectapi.Object{}, nil, eris.Wrapf(objectapi.ErrNotFound, "watch %s", name)
	}
	if found.current.Version > after {
		return clone(found.current), nil, nil
	}
	return objectapi.Object{}, o.changed, nil
}

func (o *Objects) startWatch() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Watches++
	if err := o.admit(o.reads); err != nil {
		return err
	}
	o.counters.PendingWatches++
	return nil
}

func (o *Objects) endWatch() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.PendingWatches--
}

// notifyWatches makes pending watches check again. The caller must hold o.mu.
func (o *Objects) notifyWatches() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func clone(object objectapi.Object) objectapi.Object {
	object.Value = bytes.Clone(object.Value)
	return object
}
