package intent

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// group is the state machine of one shard. It collects ops into conditional
// updates with at most one call to the object API at a time. It performs no I/O
// and reads no clock.
type group struct {
	opts    *Options
	reserve func(now time.Time) time.Time
	random  *rand.Rand
	ops     []*op

	// data and version are the latest known state of the shard; loaded is
	// false before the first read, and version 0 is an absent object.
	data    shardData
	version int64
	loaded  bool
	readAt  time.Time
	// atLeast is the lowest version that a read has to return after a conflict.
	atLeast int64
	// size is the size of the records until nextExpiry, which is zero when the
	// records changed.
	size       int
	nextExpiry time.Time

	inFlight  *flight
	lastWrite time.Time
	// slot is when the next write may start; zero before it is reserved. Ops
	// that arrive until then join the write.
	slot time.Time
	// contendedUntil is the end of the time in which other writers are expected.
	// A read before each write is then cheaper than a refused write.
	contendedUntil time.Time
	failures       int
	conflicts      int
	retryAt        time.Time
}

// flight is a write that has been sent.
type flight struct {
	view *view
	ops  []flightOp
}

// flightOp is an op with the state it had when the write was sent.
type flightOp struct {
	op        *op
	kind      opKind
	fence     bool
	uncertain int64
}

// action is what the shard has to do next.
type action struct {
	kind    actionKind
	wait    time.Duration
	value   []byte
	version int64
}

type actionKind uint8

const (
	actionIdle  actionKind = iota // no op is left
	actionWait                    // wait, or until another op arrives
	actionRead                    // read the shard, then call onRead
	actionWrite                   // write value at version, then call onWrite
)

// newGroup returns the group of a shard; reserve returns the time at which the
// next write of this router may start.
func newGroup(opts *Options, seed uint64, reserve func(now time.Time) time.Time) *group {
	return &group{opts: opts, reserve: reserve, random: rand.New(rand.NewPCG(opts.Seed, seed)), data: newShardData()}
}

func (g *group) add(o *op) {
	o.uncertain = never
	g.atLeast = max(g.atLeast, o.since)
	g.ops = append(g.ops, o)
}

// leave ends the wait for op. A begin that may be written yet becomes its own
// clean-up; other ops go on without a waiter.
func (g *group) leave(o *op, now time.Time) {
	o.done = nil
	if o.kind != opBegin {
		return
	}
	if o.foreign || (o.uncertain == never && !g.flying(o)) {
		g.drop(o)
		return
	}
	o.abandon(now)
}

// hurry makes all ops due at now, as far as they may start.
func (g *group) hurry(now time.Time) {
	for _, o := range g.ops {
		o.dueBy = now
	}
}

func (g *group) flying(o *op) bool {
	return g.inFlight != nil && slices.ContainsFunc(g.inFlight.ops, func(f flightOp) bool { return f.op == o })
}

func (g *group) drop(o *op) {
	g.ops = slices.DeleteFunc(g.ops, func(other *op) bool { return other == o })
}

// forget drops the known state while no op waits. A shard takes up to 1 MB, and
// only its owner needs it again soon.
func (g *group) forget() {
	g.atLeast = max(g.atLeast, g.version)
	g.data = newShardData()
	g.version = 0
	g.loaded = false
	g.readAt = time.Time{}
}

// plan evaluates the ops and returns the next action.
func (g *group) plan(now time.Time) action {
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
	v, pending, fresh := g.evaluate(now)
	if fresh {
		return action{kind: actionRead}
	}
	if len(pending) == 0 {
		return g.planRest(now)
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
	if now.Before(g.contendedUntil) && now.Sub(g.readAt) > freshFor {
		return action{kind: actionRead}
	}
	return g.send(v, pending, now)
}

// planRest waits for ops that may not start yet.
func (g *group) planRest(now time.Time) action {
	if len(g.ops) == 0 {
		return action{kind: actionIdle}
	}
	return action{kind: actionWait, wait: max(g.earliestStart().Sub(now), minBackoff)}
}

// dropExpired ends clean-ups and finishes whose record has expired by now.
func (g *group) dropExpired(now time.Time) {
	g.ops = slices.DeleteFunc(g.ops, func(o *op) bool {
		return o.done == nil && now.Sub(o.added) > g.opts.Expiry
	})
}

func (g *group) earliestStart() time.Time {
	return slices.MinFunc(g.ops, func(a, b *op) int { return a.notBefore.Compare(b.notBefore) }).notBefore
}

// evaluate applies all ops in order of arrival, ends those that need no write
// and returns the others.
func (g *group) evaluate(now time.Time) (v *view, pending []*op, fresh bool) {
	if !now.Before(g.nextExpiry) {
		g.size, g.nextExpiry = measure(g.data, g.opts, now)
	}
	v = newView(g.data, g.size, g.opts, now)
	for _, o := range slices.Clone(g.ops) {
		if now.Before(o.notBefore) {
			continue
		}
		result, err := o.apply(v, g.version, g.readAt)
		if result != verdictDone && o.uncertain < g.version {
			o.uncertain = never
		}
		switch result {
		case verdictDone:
			g.end(o, err, now)
		case verdictPending:
			pending = append(pending, o)
		case verdictFresh:
			fresh = true
		}
	}
	return v, pending, fresh
}

// end finishes an op that needs no write. A failed begin that may be written
// yet goes on as its own clean-up.
func (g *group) end(o *op, err error, now time.Time) {
	o.finish(result{version: g.version, written: o.written, err: err})
	if err != nil && o.kind == opBegin && !o.foreign && o.uncertain >= g.version {
		o.abandon(now)
		return
	}
	g.drop(o)
}

// dueTime is when the next write starts: at the earliest need of an op, but not
// before the write interval has passed.
func (g *group) dueTime(pending []*op) time.Time {
	due := slices.MinFunc(pending, func(a, b *op) int { return a.dueBy.Compare(b.dueBy) }).dueBy
	if next := g.lastWrite.Add(g.opts.WriteInterval); due.Before(next) {
		return next
	}
	return due
}

func (g *group) send(v *view, pending []*op, now time.Time) action {
	v.retire()
	sent := &flight{view: v}
	for _, o := range pending {
		sent.ops = append(sent.ops, flightOp{op: o, kind: o.kind, fence: o.fence, uncertain: o.uncertain})
		o.uncertain = g.version
		if o.written.IsZero() {
			o.written = now
		}
	}
	g.inFlight = sent
	g.lastWrite = now
	g.slot = time.Time{}
	return action{kind: actionWrite, value: v.encode(), version: g.version}
}

// onWrite takes the result of the write.
func (g *group) onWrite(written objectapi.Object, err error, now time.Time) {
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
		g.loaded = false // read before the next write: it may have taken effect
		g.retry(err, now)
		return
	}
	sent.restore()
	g.retry(err, now)
}

// conflict asks for a newer state. The next write needs no new slot, because the
// ops of the refused one have waited already; jitter separates the writers.
func (g *group) conflict(now time.Time) {
	g.atLeast = g.version + 1
	g.lastWrite = time.Time{}
	g.slot = now
	g.contendedUntil = now.Add(contention)
	g.retryAt = now.Add(backoff(g.conflicts, g.random.Float64()))
	g.conflicts++
}

// restore undoes the marks of a write that surely had no effect.
func (f *flight) restore() {
	for _, sent := range f.ops {
		sent.op.uncertain = sent.uncertain
	}
}

// commit ends the ops of a write that took effect. An op that was abandoned in
// the meantime stays as clean-up.
func (g *group) commit(sent *flight) {
	for _, f := range sent.ops {
		f.op.uncertain = never
		if f.op.kind != f.kind {
			f.op.since = g.version
			continue
		}
		f.op.finish(result{version: g.version, written: f.op.written})
		g.drop(f.op)
	}
}

// onRead takes the result of a read that started at started.
func (g *group) onRead(found objectapi.Object, err error, started, now time.Time) {
	if errors.Is(err, objectapi.ErrNotFound) {
		found, err = objectapi.Object{}, nil
	}
	if err == nil && (found.Version > g.version || g.readAt.IsZero()) {
		err = g.adopt(found)
	}
	if err == nil && found.Version < max(g.version, g.atLeast) {
		err = eris.New("read is older than a version seen before")
	}
	if err != nil {
		g.retry(err, now)
		return
	}
	g.loaded = true
	g.readAt = started
	g.failures = 0
}

func (g *group) adopt(found objectapi.Object) error {
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

// retry delays the next call and refuses begins that surely have no record.
func (g *group) retry(err error, now time.Time) {
	wait := backoff(g.failures, g.random.Float64())
	g.failures++
	g.retryAt = now.Add(min(max(wait, objectapi.RetryAfter(err, 0)), maxBackoff))
	for _, o := range slices.Clone(g.ops) {
		if o.kind == opBegin && o.uncertain == never && now.Sub(o.added) >= g.opts.RefuseAfter {
			g.end(o, eris.Wrap(ErrUnavailable, err.Error()), now)
		}
	}
}
