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

// Defaults of the object API stand-in.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000

	// watchLimit is the server-side limit of one long poll.
	watchLimit = 30 * time.Second
)

// Objects is an in-memory stand-in for the object API. It implements
// objectapi.Objects for tests and http.Handler for other processes.
type Objects struct {
	mu       sync.Mutex
	stored   map[string]*storedObject
	changed  chan struct{} // closed and replaced when any waiting watch has to look again
	faults   ObjectFaults
	counters ObjectCounters
	writes   *rate.Limiter
	reads    *rate.Limiter
	random   *rand.Rand
}

// storedObject keeps the previous state of an object for stale reads.
type storedObject struct {
	current  objectapi.Object
	previous objectapi.Object
}

var _ objectapi.Objects = (*Objects)(nil)

// NewObjects returns an empty object API with the default rate limits; seed
// determines which calls the faults hit.
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

// Put implements objectapi.Objects. A write whose caller gave up still takes
// effect, as it does across a network.
func (o *Objects) Put(ctx context.Context, name string, value []byte, ifVersion int64) (objectapi.Object, error) {
	value = bytes.Clone(value)
	return o.call(ctx, objectapi.ErrOutcomeUnknown, func() (objectapi.Object, error) { return o.write(name, value, ifVersion) })
}

// Watch implements objectapi.Objects.
func (o *Objects) Watch(ctx context.Context, name string, after int64) (objectapi.Object, error) {
	for {
		found, ok, err := o.poll(ctx, name, after)
		if ok || err != nil {
			return found, err
		}
	}
}

// call runs serve with the added latency on both sides of it.
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
	if ok && o.hit(&o.faults.StaleNext, o.faults.StaleFraction) {
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
	if o.hit(&o.faults.DropNext, 0) {
		o.counters.Dropped++
		return objectapi.Object{}, eris.Wrap(objectapi.ErrOutcomeUnknown, "request lost")
	}
	if o.hit(&o.faults.DelayNext, o.faults.DelayFraction) {
		o.counters.Delayed++
		o.writeLater(name, value, ifVersion)
		return objectapi.Object{}, eris.Wrap(objectapi.ErrOutcomeUnknown, "connection broke")
	}
	written, err := o.store(name, value, ifVersion)
	if err == nil && o.hit(&o.faults.LoseNext, o.faults.LoseFraction) {
		o.counters.Lost++
		return objectapi.Object{}, eris.Wrap(objectapi.ErrOutcomeUnknown, "reply lost")
	}
	return written, err
}

// writeLater applies a write after the delay, when its sender has given up.
func (o *Objects) writeLater(name string, value []byte, ifVersion int64) {
	delay := time.Duration(o.faults.DelayMs) * time.Millisecond
	time.AfterFunc(delay, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		_, _ = o.store(name, value, ifVersion)
	})
}

// store applies a conditional update; the caller holds the mutex.
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
	o.wake()
	return clone(found.current), nil
}

// poll is one long poll of a watch; false means that the limit passed.
func (o *Objects) poll(ctx context.Context, name string, after int64) (objectapi.Object, bool, error) {
	if err := o.startWatch(); err != nil {
		return objectapi.Object{}, false, err
	}
	defer o.endWatch()
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		found, changed, err := o.look(name, after)
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

// look returns the object when it is newer than after, or what to wait for.
func (o *Objects) look(name string, after int64) (objectapi.Object, <-chan struct{}, error) {
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

func (o *Objects) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func clone(object objectapi.Object) objectapi.Object {
	object.Value = bytes.Clone(object.Value)
	return object
}
