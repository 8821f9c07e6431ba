package intent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// errCallerGone means that the caller of an op stopped waiting before its effect was
// known.
var errCallerGone = eris.New("canceled before the result of the write was known")

// Store keeps at-most-once records in the object API, spread over 64 objects
// (shards). It is safe for concurrent use.
type Store struct {
	objects objectapi.Objects
	opts    Options
	shards  [Shards]*shard
	ctx     context.Context
	cancel  context.CancelFunc
	owners  owners
	budget  *rate.Limiter

	mu         sync.Mutex
	closed     bool
	goroutines sync.WaitGroup
}

// NewStore returns a store over objects.
func NewStore(objects objectapi.Objects, opts Options) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{objects: objects, opts: opts.withDefaults(), ctx: ctx, cancel: cancel}
	s.budget = rate.NewLimiter(rate.Limit(s.opts.WriteBudget), writeBurst)
	for i := range s.shards {
		s.shards[i] = &shard{
			store:       s,
			name:        fmt.Sprintf("intent/%02d", i),
			groupCommit: newGroupCommit(&s.opts, uint64(i), s.reserve),
			wakeup:      make(chan struct{}, 1),
		}
	}
	return s
}

// Close fails all waiting calls with ErrUnavailable and waits until the calls to the
// object API have ended. Writes for which no caller waits are lost; call Flush first
// to keep them.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.goroutines.Wait()
}

// startGoroutine starts the goroutine of a shard, unless the store is closed.
func (s *Store) startGoroutine(run func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.goroutines.Go(run)
	return true
}

// reserve takes one write from the budget and returns when it may start. The routers
// split the budget evenly, so that they need no coordination.
func (s *Store) reserve(now time.Time) time.Time {
	routers := 1
	if s.opts.Routers != nil {
		routers = max(1, len(s.opts.Routers()))
	}
	s.budget.SetLimitAt(now, rate.Limit(s.opts.WriteBudget/float64(routers)))
	return now.Add(s.budget.ReserveN(now, 1).DelayFrom(now))
}

// Flush starts all delayed writes and returns when none are left. Error: ctx.Err().
func (s *Store) Flush(ctx context.Context) error {
	for _, sh := range s.shards {
		if err := sh.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Begin creates the record of a call. The argument request is a digest of all that
// identifies the request, so that a reused key is noticed. The call may be sent only
// if the error is nil and Attempt.Valid returns true. Errors: *Done, ErrRunning,
// ErrOutcomeUnknown, ErrKeyReused, ErrFull, ErrUnavailable.
func (s *Store) Begin(ctx context.Context, key Key, request []byte) (Attempt, error) {
	now := time.Now()
	a := &attempt{store: s, record: record{
		Key:         key.id(),
		Attempt:     s.opts.newAttempt(),
		Request:     hashID(string(request)),
		Holder:      s.opts.Host,
		Incarnation: s.opts.Incarnation,
		CreatedMs:   now.UnixMilli(),
		State:       stateRunning,
	}}
	a.shard = s.shards[shardOf(a.record.Key)]
	if err := a.begin(ctx); err != nil {
		s.addEvent("refused", a, err.Error())
		return Attempt{}, err
	}
	s.addEvent("recorded", a, "")
	return Attempt{a}, nil
}

func (s *Store) addEvent(name string, a *attempt, detail string) {
	if s.opts.Events == nil {
		return
	}
	if detail != "" {
		detail = ": " + detail
	}
	s.opts.Events.Add(event.Event{Part: "intent", Name: name, Detail: fmt.Sprintf("attempt %x%s", a.record.Attempt, detail)})
}

// shard performs the actions that its groupCommit plans, against the object API. Its
// goroutine runs only while there are ops.
type shard struct {
	store  *Store
	name   string
	wakeup chan struct{}

	mu          sync.Mutex
	groupCommit *groupCommit
	idle        chan struct{} // closed when the goroutine ends; nil when none runs
}

// do adds an op and waits for its result, or until ctx or the store ends.
func (s *shard) do(ctx context.Context, o *op) result {
	done := make(chan result, 1)
	o.done = done
	s.submit(o)
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
	case <-s.store.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case r := <-done:
		return r
	default:
		s.groupCommit.stopWaiting(o, time.Now())
		return result{err: errCallerGone}
	}
}

// submit adds an op and starts the goroutine of the shard if it is not running.
func (s *shard) submit(o *op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupCommit.add(o)
	if s.idle == nil && s.store.startGoroutine(s.run) {
		s.idle = make(chan struct{})
	}
	s.wake()
}

func (s *shard) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *shard) flush(ctx context.Context) error {
	s.mu.Lock()
	s.groupCommit.makeDue(time.Now())
	idle := s.idle
	s.mu.Unlock()
	if idle == nil {
		return nil
	}
	s.wake()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *shard) run() {
	for {
		next, more := s.next()
		if !more {
			return
		}
		switch next.kind {
		case actionWait:
			s.wait(next.wait)
		case actionRead:
			s.read()
		case actionWrite:
			s.write(next)
		}
	}
}

// next returns the next action, or false if the goroutine has to end.
func (s *shard) next() (action, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.groupCommit.plan(time.Now())
	if next.kind != actionIdle && s.store.ctx.Err() == nil {
		return next, true
	}
	if !s.store.owns(s.name) {
		s.groupCommit.dropState()
	}
	close(s.idle)
	s.idle = nil
	return action{}, false
}

func (s *shard) wait(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wakeup:
	case <-s.store.ctx.Done():
	}
}

func (s *shard) read() {
	ctx, cancel := context.WithTimeout(s.store.ctx, s.store.opts.CallTimeout)
	defer cancel()
	started := time.Now()
	found, err := s.store.objects.Get(ctx, s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupCommit.onRead(found, err, started, time.Now())
}

func (s *shard) write(next action) {
	ctx, cancel := context.WithTimeout(s.store.ctx, s.store.opts.CallTimeout)
	defer cancel()
	written, err := s.store.objects.Put(ctx, s.name, next.value, next.version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupCommit.onWrite(written, err, time.Now())
}
