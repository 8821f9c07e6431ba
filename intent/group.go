package intent

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// groupCommit is the state machine of one shard. It batches ops into conditional
// updates of the shard's object (group commit) and makes at most one call to
// the object API at a time. It does no I/O itself and reads no clock.
type groupCommit struct {
	opts    *Options
	reserve func(now time.Time) time.Time
	random  *rand.Rand
	ops     []*op

	// data and version are the latest known state of the shard, as of readAt.
	// Version 0 means that the object does not exist. loaded is false if the shard
	// has to be read before the next decision.
	data    shardData
	version int64
	loaded  bool
	readAt  time.Time
	// atLeast is the lowest acceptable version: older reads are stale.
	atLeast int64
	// size is the size of data. It is valid until nextExpiry, which is zero after
	// data changed.
	size       int
	nextExpiry time.Time

	inFlight  *inFlightWrite
	lastWrite time.Time
	// slot is when the write budget allows the next write, zero if no write is
	// reserved. Ops that arrive before then join the write.
	slot time.Time
	// contendedUntil is until when other routers are expected to write this shard.
	// Until then, a read before each write costs less than a refused write.
	contendedUntil time.Time
	failures       int       // consecutive failed calls to the object API
	conflicts      int       // conflicts since the last successful write
	retryAt        time.Time // no call to the object API starts before
}

// inFlightWrite is a write that has been sent and has no result yet.
type inFlightWrite struct {
	view *view
	ops  []inFlightOp
}

// inFlightOp is an op of a write in flight, with the state it had before the write.
type inFlightOp struct {
	op               *op
	kind             opKind
	fence            bool
	uncertainVersion int64
}

// action is what the goroutine of the shard has to do next.
type action struct {
	kind    actionKind
	wait    time.Duration
	value   []byte
	version int64
}

type actionKind uint8

const (
	actionIdle  actionKind = iota // no ops are left
	actionWait                    // sleep for wait, or until another op arrives
	actionRead                    // read the shard, then call onRead
	actionWrite                   // write value if the version is still version, then call onWrite
)

// newGroupCommit returns the state machine of a shard. The function reserve takes
// one write from the write budget of this router and returns when it may start.
func newGroupCommit(opts *Options, seed uint64, reserve func(now time.Time) time.Time) *groupCommit {
	return &groupCommit{opts: opts, reserve: reserve, random: rand.New(rand.NewPCG(opts.Seed, seed)), data: newShardData()}
}

func (g *groupCommit) add(o *op) {
	o.uncertainVersion = noVersion
	g.atLeast = max(g.atLeast, o.firstVersion)
	g.ops = append(g.ops, o)
}

// stopWaiting is called when the caller of an op stops waiting. A begin that has
// not been sent is dropped, and one that may still be written turns into its own
// clean-up. Other ops continue without a waiter.
func (g *groupCommit) stopWaiting(o *op, now time.Time) {
	o.done = nil
	if o.kind != opBegin {
		return
	}
	if o.forwarded || (o.uncertainVersion == noVersion && !g.isInFlight(o)) {
		g.drop(o)
		return
	}
	o.abandon(now)
}

// makeDue makes all ops due at now, except that none starts before its notBefore.
func (g *groupCommit) makeDue(now time.Time) {
	for _, o := range g.ops {
		o.dueBy = now
	}
}

// isInFlight reports whether the op is part of the write in flight.
func (g *groupCommit) isInFlight(o *op) bool {
	return g.inFlight != nil && slices.ContainsFunc(g.inFlight.ops, func(f inFlightOp) bool { return f.op == o })
}

func (g *groupCommit) drop(o *op) {
	g.ops = slices.DeleteFunc(g.ops, func(other *op) bool { return other == o })
}

// dropState drops the cached state of the shard while no ops wait. It takes up to
// 1 MB, and only the owner of the shard will need it again soon.
func (g *groupCommit) dropState() {
	g.atLeast = max(g.atLeast, g.version)
	g.data = newShardData()
	g.version = 0
	g.loaded = false
	g.readAt = time.Time{}
}

// plan evaluates the ops and returns the next action.
func (g *groupCommit) plan(now time.Time) action {
	g.dropExpired(now)
	if len(g.ops) == 0 {
		return action{kind: actionIdle}
	}
	start := g.earliestStart()
	if now.Before(start) {
		return action{kind: actionWait, wait: start.Sub(now)}
	}
	if now.Before(g.retryAt) {
		return action{kind: actionWait, wait: g.retryAt.Sub(now)}
	}
	if !g.loaded || g.version < g.atLeast {
		return action{kind: actionRead}
	}
	v, pending, stale := g.evaluate(now)
	if stale {
		return action{kind: actionRead}
	}
	if len(pending) == 0 {
		return g.planDeferred(now)
	}
	due := g.dueTime(pending)
	if now.Before(due) {
		return action{kind: actionWait, wait: due.Sub(now)}
	}
	if g.slot.IsZero() {
		g.slot = g.reserve(now)
	}
	if now.Before(g.slot) {
		return action{kind: actionWait, wait: g.slot.Sub(now)}
	}
	if now.Before(g.contendedUntil) && now.Sub(g.readAt) > maxReadAge {
		return action{kind: actionRead}
	}
	return g.send(v, pending, now)
}

// planDeferred returns the action when no op needs a write now: to wait for those
// that may not start yet.
func (g *groupCommit) planDeferred(now time.Time) action {
	if len(g.ops) == 0 {
		return action{kind: actionIdle}
	}
	return action{kind: actionWait, wait: max(g.earliestStart().Sub(now), minBackoff)}
}

// dropExpired drops ops without a waiter whose record has expired by now.
func (g *groupCommit) dropExpired(now time.Time) {
	g.ops = slices.DeleteFunc(g.ops, func(o *op) bool {
		return o.done == nil && now.Sub(o.added) > g.opts.Expiry
	})
}

func (g *groupCommit) earliestStart() time.Time {
	return slices.MinFunc(g.ops, func(a, b *op) int { return a.notBefore.Compare(b.notBefore) }).notBefore
}

// evaluate applies all ops in order of arrival. It ends those that need no write and
// returns the others as pending, with the view to write. If stale is true, the shard
// has to be read again first.
func (g *groupCommit) evaluate(now time.Time) (v *view, pending []*op, stale bool) {
	if !now.Before(g.nextExpiry) {
		g.size, g.nextExpiry = liveSize(g.data, g.opts, now)
	}
	v = newView(g.data, g.size, g.opts, now)
	for _, o := range slices.Clone(g.ops) {
		if now.Before(o.notBefore) {
			continue
		}
		status, err := o.apply(v, g.version, g.readAt)
		if status != statusDone && o.uncertainVersion < g.version {
			o.uncertainVersion = noVersion
		}
		switch status {
		case statusDone:
			g.end(o, err, now)
		case statusPending:
			pending = append(pending, o)
		case statusStale:
			stale = true
		}
	}
	return v, pending, stale
}

// end finishes an op that needs no write. A failed begin that may still be written
// stays as its own clean-up.
func (g *groupCommit) end(o *op, err error, now time.Time) {
	o.finish(result{version: g.version, writeStarted: o.writeStarted, err: err})
	if err != nil && o.kind == opBegin && !o.forwarded && o.uncertainVersion >= g.version {
		o.abandon(now)
		return
	}
	g.drop(o)
}

// dueTime returns when the next write has to start: at the earliest dueBy of an op,
// but not before Options.WriteInterval has passed since the last write.
func (g *groupCommit) dueTime(pending []*op) time.Time {
	due := slices.MinFunc(pending, func(a, b *op) int { return a.dueBy.Compare(b.dueBy) }).dueBy
	if next := g.lastWrite.Add(g.opts.WriteInterval); due.Before(next) {
		return next
	}
	return due
}

func (g *groupCommit) send(v *view, pending []*op, now time.Time) action {
	v.compactOld()
	sent := &inFlightWrite{view: v}
	for _, o := range pending {
		sent.ops = append(sent.ops, inFlightOp{op: o, kind: o.kind, fence: o.fence, uncertainVersion: o.uncertainVersion})
		o.uncertainVersion = g.version
		if o.writeStarted.IsZero() {
			o.writeStarted = now
		}
	}
	g.inFlight = sent
	g.lastWrite = now
	g.slot = time.Time{}
	return action{kind: actionWrite, value: v.encode(), version: g.version}
}

// onWrite handles the result of a write.
func (g *groupCommit) onWrite(written objectapi.Object, err error, now time.Time) {
	sent := g.inFlight
	g.inFlight = nil
	switch {
	case err == nil:
		sent.view.merge()
		g.nextExpiry = time.Time{}
		g.version = written.Version
		g.readAt = now
		g.failures = 0
		g.conflicts = 0
		g.commit(sent)
		return
	case errors.Is(err, objectapi.ErrConflict):
		sent.restore()
		g.conflict(now)
		return
	case errors.Is(err, objectapi.ErrOutcomeUnknown):
		g.loaded = false // the write may have taken effect, so read the shard before the next one
		g.retry(err, now)
		return
	}
	sent.restore()
	g.retry(err, now)
}

// conflict prepares to read the newer state and retry. The retry does not wait for
// the write interval or the write budget again, because its ops have already done
// so; a backoff with jitter separates the writers.
func (g *groupCommit) conflict(now time.Time) {
	g.atLeast = g.version + 1
	g.lastWrite = time.Time{}
	g.slot = now
	g.contendedUntil = now.Add(contentionPeriod)
	g.retryAt = now.Add(backoff(g.conflicts, g.random.Float64()))
	g.conflicts++
}

// restore resets the ops of a write that certainly had no effect.
func (f *inFlightWrite) restore() {
	for _, sent := range f.ops {
		sent.op.uncertainVersion = sent.uncertainVersion
	}
}

// commit ends the ops of a write that took effect. An op that was abandoned in the
// meantime stays as clean-up.
func (g *groupCommit) commit(sent *inFlightWrite) {
	for _, f := range sent.ops {
		f.op.uncertainVersion = noVersion
		if f.op.kind != f.kind {
			f.op.firstVersion = g.version
			continue
		}
		f.op.finish(result{version: g.version, writeStarted: f.op.writeStarted})
		g.drop(f.op)
	}
}

// onRead handles the result of a read that started at started.
func (g *groupCommit) onRead(found objectapi.Object, err error, started, now time.Time) {
	if errors.Is(err, objectapi.ErrNotFound) {
		found, err = objectapi.Object{}, nil
	}
	if err == nil && (found.Version > g.version || g.readAt.IsZero()) {
		err = g.adopt(found)
	}
	if err == nil && found.Version < max(g.version, g.atLeast) {
		err = eris.New("read returned an older version than one already seen")
	}
	if err != nil {
		g.retry(err, now)
		return
	}
	g.loaded = true
	g.readAt = started
	g.failures = 0
}

// adopt replaces the cached state of the shard.
func (g *groupCommit) adopt(found objectapi.Object) error {
	data := newShardData()
	if found.Version > 0 {
		var err error
		if data, err = decodeShard(found.Value); err != nil {
			return err
		}
	}
	g.data = data
	g.nextExpiry = time.Time{}
	g.version = found.Version
	return nil
}

// retry delays the next call to the object API. It refuses begins that have waited
// for Options.RefuseAfter and certainly have no record.
func (g *groupCommit) retry(err error, now time.Time) {
	wait := backoff(g.failures, g.random.Float64())
	g.failures++
	g.retryAt = now.Add(min(max(wait, objectapi.RetryAfter(err, 0)), maxBackoff))
	for _, o := range slices.Clone(g.ops) {
		if o.kind == opBegin && o.uncertainVersion == noVersion && now.Sub(o.added) >= g.opts.RefuseAfter {
			g.end(o, eris.Wrap(ErrUnavailable, err.Error()), now)
		}
	}
}
