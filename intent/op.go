package intent

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
)

type opKind uint8

const (
	opBegin opKind = iota + 1
	opFinish
	opUnknown
	opRelease
)

// noVersion stands for no version; it is below all versions of an object.
const noVersion int64 = -1

// op is a change of one record that waits for its write.
type op struct {
	kind opKind
	// record holds the key, the attempt and, for a begin, the other fields.
	record record
	// storedOutcome is what a finish records.
	storedOutcome storedOutcome
	// forwarded is set for an op forwarded by another router, which does its own
	// clean-up.
	forwarded bool
	// firstVersion is the version of the shard that first contained the record. An
	// older version says nothing about the attempt.
	firstVersion int64
	// added is when the op arrived, dueBy when its write must start even if no
	// other op joins, and notBefore the earliest time at which it may start.
	added     time.Time
	dueBy     time.Time
	notBefore time.Time
	// fence demands a write after notBefore even if the record is gone. It raises
	// the version, so that every older write that is still in flight fails.
	fence bool
	// uncertainVersion is the version on which a write of this op was based whose
	// outcome is not known; noVersion if there is none. Reading a higher version
	// shows whether that write took effect.
	uncertainVersion int64
	// writeStarted is the start of the first write that contained the op.
	writeStarted time.Time
	// next caches the record that the op writes, derived from previous.
	next     *record
	previous *record
	// done receives the result; it is nil if no caller waits.
	done chan result
}

// result is the result of an op. For a begin, version is the first version that
// contained the record, and writeStarted the start of the first write of the op.
type result struct {
	version      int64
	writeStarted time.Time
	err          error
}

// opStatus is the status of an op after it was applied to a view.
type opStatus uint8

const (
	statusDone    opStatus = iota + 1 // the op has ended, with or without an error
	statusPending                     // the op is part of the next write
	statusStale                       // the shard has to be read again first
	statusBlocked                     // the op has to wait for the next write of another op
)

// apply applies the op to a view whose base was read at readAt with the given
// version.
func (o *op) apply(v *view, version int64, readAt time.Time) (opStatus, error) {
	if o.kind == opBegin {
		return o.applyBegin(v, readAt)
	}
	if version < o.firstVersion {
		return statusStale, nil
	}
	if o.kind == opRelease {
		return o.applyRelease(v, version)
	}
	return o.applyEnd(v)
}

func (o *op) applyBegin(v *view, readAt time.Time) (opStatus, error) {
	r, written := v.get(o.record.Key)
	if c, ok := v.compactRecord(o.record.Key); ok && r == nil {
		return statusDone, c.refusal(o.record.Request)
	}
	if r == nil {
		if !v.set(o.created()) {
			return statusDone, eris.Wrapf(ErrFull, "shard has %d bytes", v.size)
		}
		return statusPending, nil
	}
	if !written {
		return statusBlocked, nil
	}
	if r.Attempt == o.record.Attempt {
		return statusDone, nil
	}
	if r.State == stateFinished && r.Request == o.record.Request {
		return statusDone, r.Outcome.done()
	}
	if readAt.Before(o.added) {
		return statusStale, nil
	}
	return statusDone, o.refusal(r, v.opts.Live)
}

// created returns the new record, which is encoded only once.
func (o *op) created() *record {
	if o.next == nil {
		o.next = o.record.withEncoding()
	}
	return o.next
}

// ended returns the record r with the end of its call, which is encoded only once.
func (o *op) ended(r *record) *record {
	if o.previous == r {
		return o.next
	}
	o.previous = r
	ended := *r
	ended.EndedMs = o.added.UnixMilli()
	if o.kind == opUnknown {
		ended.State = stateUnknown
		o.next = ended.withEncoding()
		return o.next
	}
	o.next = ended.finished(o.storedOutcome)
	return o.next
}

// refusal returns the error for a key that another attempt holds.
func (o *op) refusal(r *record, live func(string, uint64) bool) error {
	switch {
	case r.Request != o.record.Request:
		return eris.Wrap(ErrKeyReused, "begin")
	case r.State == stateRunning && live(r.Holder, r.Incarnation):
		return eris.Wrapf(ErrRunning, "held by %s", r.Holder)
	default:
		return eris.Wrapf(ErrOutcomeUnknown, "held by %s", r.Holder)
	}
}

// applyEnd records the outcome, or that it is unknown. A known outcome is never
// overwritten.
func (o *op) applyEnd(v *view) (opStatus, error) {
	r, written := v.get(o.record.Key)
	if _, ok := v.compactRecord(o.record.Key); ok && r == nil {
		return statusDone, nil // only an ended call is compacted
	}
	if r == nil || r.Attempt != o.record.Attempt {
		return statusDone, eris.Wrap(ErrNotHeld, "finish")
	}
	if r.State == stateFinished || (o.kind == opUnknown && r.State == stateUnknown) {
		if !written {
			return statusPending, nil
		}
		return statusDone, nil
	}
	v.setEnded(r, o)
	return statusPending, nil
}

// setEnded stores the outcome, without its body if the shard is full. The space for
// that is reserved with each running record (finishReserve).
func (v *view) setEnded(r *record, o *op) {
	ended := o.ended(r)
	if !v.set(ended) && ended.Outcome != nil {
		v.set(ended.withoutBody())
	}
}

// applyRelease removes a running record of the attempt. The op ends once no write of
// the attempt can take effect anymore.
func (o *op) applyRelease(v *view, version int64) (opStatus, error) {
	r, written := v.get(o.record.Key)
	if r != nil && r.Attempt == o.record.Attempt {
		if !written {
			return statusBlocked, nil
		}
		if r.State != stateRunning {
			return statusDone, eris.Wrap(ErrNotHeld, "release of an ended call")
		}
		v.remove(o.record.Key)
		return statusPending, nil
	}
	if !written || o.fence || o.uncertainVersion >= version {
		return statusPending, nil
	}
	return statusDone, nil
}

// finish delivers the result to the waiting caller, if there is one.
func (o *op) finish(r result) {
	if o.done != nil {
		o.done <- r
		o.done = nil
	}
}

// abandon turns a begin whose caller no longer waits into its own clean-up.
func (o *op) abandon(now time.Time) {
	o.kind = opRelease
	o.done = nil
	o.dueBy = now
	o.firstVersion = 0
}

// backoff returns an exponential delay with jitter; random is in [0, 1).
func backoff(failures int, random float64) time.Duration {
	wait := float64(minBackoff) * math.Pow(2, float64(min(failures, 10)))
	wait = min(wait, float64(maxBackoff))
	return time.Duration(wait * (0.5 + random/2))
}
