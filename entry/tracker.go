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

	mu          sync.Mutex
	resumeToken string        // of the current run
	waited      time.Duration // until the first grant
	readers     int
	released    bool        // the caller continues at another router
	graceTimer  *time.Timer // runs while there is no reader, see addReader
}

// setRun publishes the resume token of the current run.
func (tc *trackedCompletion) setRun(resumeToken string, waited time.Duration) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.resumeToken = resumeToken
	select {
	case <-tc.granted:
	default:
		tc.waited = waited
		close(tc.granted)
	}
}

// currentRun returns the resume token of the current run, and the time that the request
// waited for its first grant.
func (tc *trackedCompletion) currentRun() (string, time.Duration) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.resumeToken, tc.waited
}

// addReader registers a reader and returns the function that removes it. A run
// without a reader for reconnectGrace is canceled, unless it was released.
func (tc *trackedCompletion) addReader() func() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.readers++
	if tc.graceTimer != nil {
		tc.graceTimer.Stop()
	}
	return func() {
		tc.mu.Lock()
		defer tc.mu.Unlock()
		tc.readers--
		if tc.readers == 0 {
			tc.graceTimer = time.AfterFunc(reconnectGrace, tc.cancelIfUnread)
		}
	}
}

// cancelIfUnread cancels the run if it still has no reader.
func (tc *trackedCompletion) cancelIfUnread() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.readers == 0 {
		tc.cancel()
	}
}

// isReleased reports whether the caller continues the request at another router.
func (tc *trackedCompletion) isReleased() bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.released
}

// requestTracker counts the requests in progress and holds the completions by
// their fleet-wide keys. It is safe for concurrent use.
type requestTracker struct {
	mu       sync.Mutex
	byKey    map[string]*trackedCompletion
	retained []*trackedCompletion // complete answers, oldest first, also removed ones
	active   int                  // number of requests in progress
	idle     chan struct{}        // closed and replaced when active becomes zero
}

func newRequestTracker() *requestTracker {
	return &requestTracker{byKey: map[string]*trackedCompletion{}, idle: make(chan struct{})}
}

// begin counts a request as in progress until the returned function is called.
func (t *requestTracker) begin() func() {
	t.mu.Lock()
	t.active++
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.active--
		if t.active == 0 {
			close(t.idle)
			t.idle = make(chan struct{})
		}
	}
}

func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// waitIdle waits until no request is in progress. It reports false if ctx ends
// first.
func (t *requestTracker) waitIdle(ctx context.Context) bool {
	for {
		t.mu.Lock()
		active, idle := t.active, t.idle
		t.mu.Unlock()
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
func (t *requestTracker) add(tc *trackedCompletion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, taken := t.byKey[tc.key]; taken {
		return false
	}
	t.byKey[tc.key] = tc
	return true
}

func (t *requestTracker) get(key string) *trackedCompletion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[key]
}

// finish marks the completion as ended and removes it after answerRetention. A
// failed completion is removed at once, so that the caller can send the request
// again with the same id.
func (t *requestTracker) finish(tc *trackedCompletion, failed bool) {
	close(tc.ended)
	if failed {
		t.remove(tc)
		return
	}
	t.mu.Lock()
	t.retained = append(t.retained, tc)
	for len(t.retained) > maxRetainedAnswers {
		t.removeLocked(t.retained[0])
		t.retained[0] = nil
		t.retained = t.retained[1:]
	}
	t.mu.Unlock()
	time.AfterFunc(answerRetention, func() { t.remove(tc) })
}

func (t *requestTracker) remove(tc *trackedCompletion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(tc)
}

func (t *requestTracker) removeLocked(tc *trackedCompletion) {
	if t.byKey[tc.key] == tc {
		delete(t.byKey, tc.key)
	}
}

// release cancels the context of a completion that continues at another router. It
// reports false if there is no such completion.
func (t *requestTracker) release(key string) bool {
	tc := t.get(key)
	if tc == nil {
		return false
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.released = true
	tc.cancel()
	return true
}
