package intent

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Attempt is the permission to send one call once. Exactly one of Finish, MarkUnknown
// and Release ends it. The store writes the end of an attempt even if the context
// passed to that method is done before.
type Attempt struct{ *attempt }

type attempt struct {
	store  *Store
	shard  *shard
	record record
	// firstVersion is the version of the shard that first contained the record.
	firstVersion int64
	// writeStarted is a time shortly before the record was written.
	writeStarted time.Time
	// ownerMayWriteUntil is set if a forwarded begin got no response: until then the
	// owner may still write the record.
	ownerMayWriteUntil time.Time
}

// Valid reports whether the first byte may be sent at now, which has to come from
// time.Now. It returns false if more than Options.ValidFor has passed since the
// record was written, by either the monotonic or the wall clock. The wall clock is
// checked too because the monotonic clock stops while the machine is suspended.
func (a Attempt) Valid(now time.Time) bool {
	if a.attempt == nil {
		return false
	}
	limit := a.store.opts.ValidFor
	wall := now.Round(0).Sub(a.writeStarted.Round(0))
	return now.Sub(a.writeStarted) <= limit && wall <= limit
}

// Finish stores the outcome. It waits up to Options.FinishDelay so that it can
// share a write with other calls. Errors: ErrNotHeld; ErrUnavailable if ctx ended
// first, in which case the store still completes the write.
func (a Attempt) Finish(ctx context.Context, outcome Outcome) error {
	o := a.newOp(opFinish)
	o.storedOutcome = newStoredOutcome(outcome, a.store.opts.MaxBodyBytes)
	return a.end(ctx, o, "finished")
}

// MarkUnknown records that the response of the upstream was lost. Errors: as Finish.
func (a Attempt) MarkUnknown(ctx context.Context) error {
	return a.end(ctx, a.newOp(opUnknown), "unknown")
}

// Release removes the record of a call of which nothing was sent, so that another
// attempt may begin. Errors: as Finish.
func (a Attempt) Release(ctx context.Context) error {
	if !a.ownerMayWriteUntil.IsZero() {
		a.cleanUpLater()
	}
	return a.end(ctx, a.newOp(opRelease), "released")
}

func (a *attempt) newOp(kind opKind) *op {
	now := time.Now()
	return &op{kind: kind, record: a.record, firstVersion: a.firstVersion, added: now, dueBy: now.Add(a.store.opts.FinishDelay)}
}

// begin creates the record through the owner of the shard, or directly if there is
// no owner or it does not respond. Both ways use the same attempt ID, so that a
// record that the owner wrote without responding is recognized.
func (a *attempt) begin(ctx context.Context) error {
	now := time.Now()
	o := &op{kind: opBegin, record: a.record, added: now, dueBy: now}
	r, ok := a.forward(ctx, o, a.store.opts.ForwardTimeout)
	if ok {
		r.writeStarted = now
	} else {
		r = a.shard.do(ctx, o)
	}
	if r.err != nil {
		if !a.ownerMayWriteUntil.IsZero() {
			a.cleanUpLater()
		}
		return exportedError(r.err)
	}
	a.firstVersion = r.version
	a.writeStarted = r.writeStarted
	return nil
}

// end ends the attempt, through the owner of the shard or directly.
func (a *attempt) end(ctx context.Context, o *op, name string) error {
	opts := &a.store.opts
	wait := opts.ForwardTimeout + opts.FinishDelay + opts.WriteInterval
	r, ok := a.forward(ctx, o, wait)
	if !ok {
		r = a.shard.do(ctx, o)
	}
	if r.err != nil {
		a.store.addEvent("not "+name, a, r.err.Error())
		return exportedError(r.err)
	}
	a.store.addEvent(name, a, "")
	return nil
}

// cleanUpLater removes the record that a forwarded begin may still write. It runs
// once the owner must have given up. Its write raises the version of the shard, so
// that every older write still in flight fails.
func (a *attempt) cleanUpLater() {
	now := time.Now()
	a.shard.submit(&op{
		kind: opRelease, record: a.record, fence: true,
		added: now, dueBy: a.ownerMayWriteUntil, notBefore: a.ownerMayWriteUntil,
	})
}

// exportedError converts errCallerGone, which is not exported, to ErrUnavailable.
func exportedError(err error) error {
	if errors.Is(err, errCallerGone) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return err
}
