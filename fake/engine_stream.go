package fake

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// stream is one run of a request. Until it expires, its events can be read any
// number of times.
type stream struct {
	request     CompletionRequest
	length      int
	promptUsage ticket.Usage // usage of the prompt, constant

	mu        sync.Mutex
	prefilled bool
	next      int // index of the next token
	finished  bool
	stopped   bool
	dropped   bool // the drop_after_tokens fault was applied
	stop      context.CancelFunc
	readers   int
	lastRead  time.Time     // when the last reader left, or the start
	changed   chan struct{} // closed and replaced on each change
}

func newStream(request CompletionRequest, promptUsage ticket.Usage) *stream {
	return &stream{
		request:     request,
		length:      request.length(),
		promptUsage: promptUsage,
		next:        request.ResumeTokens,
		lastRead:    time.Now(),
		changed:     make(chan struct{}),
	}
}

// streamState is a consistent snapshot of a stream.
type streamState struct {
	next     int
	finished bool
	stopped  bool
	changed  <-chan struct{}
}

func (s *stream) state() streamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamState{s.next, s.finished, s.stopped, s.changed}
}

// notifyReaders wakes the readers. The caller must hold s.mu.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) addToken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.notifyReaders()
}

// finish marks the run as ended.
func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	s.stopped = s.next < s.length
	s.notifyReaders()
}

// setStop sets the function that cancels the run, and calls it if the run was
// stopped before.
func (s *stream) setStop(stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
	if s.stopped {
		stop()
	}
}

// cancel stops the run and returns the number of tokens generated so far by all
// runs of the request.
func (s *stream) cancel() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.finished {
		s.stopped = true
		if s.stop != nil {
			s.stop()
		}
	}
	return s.next
}

// endPrefill marks the prefill as ended, and reports whether it was not before.
func (s *stream) endPrefill() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.prefilled
	s.prefilled = true
	return first
}

func (s *stream) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// isComplete reports whether no more tokens will be generated.
func (s *stream) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped || s.next >= s.length
}

// isAbandoned reports whether the stream has had no reader for streamRetention.
func (s *stream) isAbandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.lastRead) >= streamRetention
}

// attach counts a new reader.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach counts a reader that has left.
func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.lastRead = time.Now()
}

// dropOnce reports whether to abort the connection now. It returns true once per
// stream, after the given number of events.
func (s *stream) dropOnce(events, after int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after <= 0 || s.dropped || events < after {
		return false
	}
	s.dropped = true
	return true
}

// usage returns the usage of the run when the tokens before index next have been
// generated.
func (s *stream) usage(next int) ticket.Usage {
	usage := s.promptUsage
	usage.GeneratedTokens = int64(next - s.request.ResumeTokens)
	return usage
}
