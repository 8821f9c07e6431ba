package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/reply"
)

const (
	// reconnectGrace is how long a run continues after its last reader
	// disconnected, so that the caller can reconnect.
	reconnectGrace = 2 * time.Second
	// answerRetention is how long a complete answer can be read again.
	answerRetention = 30 * time.Second
	// maxRetainedAnswers limits the number of complete answers that are retained.
	maxRetainedAnswers = 512
)

// trackedCompletion is a completion that is in progress at this router or that
// ended less than answerRetention ago. Several connections can read its answer.
type trackedCompletion struct {
	// id is the request id that the caller knows, key the fleet-wide key.
	id  string
	key string
	log *reply.Log
	// granted is closed when the first run is granted. From then on the response
	// headers can be sent.
	granted chan struct{}
	// ctx is canceled to end the run. It does not depend on the connection of the
	// caller.
	ctx    context.Context
	cancel context.CancelFunc
	// ended is closed after log is closed.
	ended chan struct{}

	mu         sync.Mutex
	token      string
	waited     time.Duration
	readers    int
	released   bool
	graceTimer *time.Timer
}

// setRun publishes the resume token of the current run.
func (f *trackedCompletion) setRun(token string, waited time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.token = token
	select {
	case <-f.granted:
	default:
		f.waited = waited
		close(f.granted)
	}
}

// currentRun returns the resume token of the current run, and the time that the request
// waited for its first grant.
func (f *trackedCompletion) currentRun() (string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token, f.waited
}

// addReader registers a reader and returns the function that removes it. A run
// without a reader for reconnectGrace is canceled, unless it was released.
func (f *trackedCompletion) addReader() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
	if f.graceTimer != nil {
		f.graceTimer.Stop()
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.readers--
		if f.readers == 0 {
			f.graceTimer = time.AfterFunc(reconnectGrace, f.cancelIfUnread)
		}
	}
}

// cancelIfUnread cancels the run if it still has no reader.
func (f *trackedCompletion) cancelIfUnread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readers == 0 {
		f.cancel()
	}
}

// isReleased reports whether the caller continues the request at another router.
func (f *trackedCompletion) isReleased() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.released
}

// requestTracker counts the requests in progress and holds the completions by
// their fleet-wide keys. It is safe for concurrent use.
type requestTracker struct {
	mu           sync.Mutex
	byKey        map[string]*trackedCompletion
	retainedKeys []string      // keys of complete answers, oldest first
	active       int           // number of requests in progress
	idle         chan struct{} // closed and replaced when active becomes zero
}

func newRequestTracker() *requestTracker {
	return &requestTracker{byKey: map[string]*trackedCompletion{}, idle: make(chan struct{})}
}

// begin counts a request as in progress until the returned function is called.
func (s *requestTracker) begin() func() {
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active--
		if s.active == 0 {
			close(s.idle)
			s.idle = make(chan struct{})
		}
	}
}

func (s *requestTracker) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// waitIdle waits until no request is in progress. It reports false if ctx ends
// first.
func (s *requestTracker) waitIdle(ctx context.Context) bool {
	for {
		s.mu.Lock()
		active, idle := s.active, s.idle
		s.mu.Unlock()
		if active == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-idle:
		}
	}
}

// add registers a completion. It reports false if there is one with the same key
// already.
func (s *requestTracker) add(f *trackedCompletion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.byKey[f.key]; taken {
		return false
	}
	s.byKey[f.key] = f
	return true
}

func (s *requestTracker) get(key string) *trackedCompletion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// finish marks the completion as ended and removes it after answerRetention. A
// failed completion is removed at once, so that the caller can send the request
// again with the same id.
func (s *requestTracker) finish(f *trackedCompletion, failed bool) {
	close(f.ended)
	if failed {
		s.remove(f)
		return
	}
	s.mu.Lock()
	s.retainedKeys = append(s.retainedKeys, f.key)
	for len(s.retainedKeys) > maxRetainedAnswers {
		delete(s.byKey, s.retainedKeys[0])
		s.retainedKeys = s.retainedKeys[1:]
	}
	s.mu.Unlock()
	time.AfterFunc(answerRetention, func() { s.remove(f) })
}

func (s *requestTracker) remove(f *trackedCompletion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[f.key] == f {
		delete(s.byKey, f.key)
	}
}

// release cancels the context of a completion that continues at another router. It
// reports false if there is no such completion.
func (s *requestTracker) release(key string) bool {
	f := s.get(key)
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = true
	f.cancel()
	return true
}
