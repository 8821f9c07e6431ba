package fake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxBodyBytes limits the request bodies that the fake services read.
const maxBodyBytes = 4 << 20

// ErrInvalidRequest means that a request body could not be read or decoded.
var ErrInvalidRequest = eris.New("request body is not valid")

// Faults are the injected faults of an engine or a plain service. POST /control
// changes only the fields in its body.
type Faults struct {
	// SlowFactor multiplies all run times. Zero and one mean normal speed.
	SlowFactor float64 `json:"slow_factor"`
	// Refuse rejects requests with status 503 before they run.
	Refuse bool `json:"refuse"`
	// Drop aborts all connections at the next token or before the response. Runs
	// in progress continue.
	Drop bool `json:"drop"`
	// DropAfterTokens aborts the connection of each stream once, after this many
	// events. A resumed stream is not aborted again. Zero disables the fault.
	DropAfterTokens int `json:"drop_after_tokens"`
	// LoseAnswers aborts the connection of each plain call after its run.
	LoseAnswers bool `json:"lose_answers"`
	// Freeze suspends all runs and responses until it is cleared.
	Freeze bool `json:"freeze"`
}

// scale returns d multiplied by SlowFactor if that is set.
func (f Faults) scale(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// faultState holds the current faults and notifies watchers of changes.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{})}
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// watch returns the faults and a channel that is closed on the next change.
func (s *faultState) watch() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// set replaces the faults.
func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// update sets the faults that the JSON object in body contains and keeps the
// others.
func (s *faultState) update(body io.Reader) error {
	faults := s.get()
	if err := json.NewDecoder(body).Decode(&faults); err != nil {
		return eris.Wrap(ErrInvalidRequest, err.Error())
	}
	s.set(faults)
	return nil
}

// waitUnfrozen waits until Freeze is cleared, and reports whether it had to wait.
// Error: ctx.Err().
func (s *faultState) waitUnfrozen(ctx context.Context) (bool, error) {
	waited := false
	for {
		faults, changed := s.watch()
		if !faults.Freeze {
			return waited, ctx.Err()
		}
		waited = true
		select {
		case <-changed:
		case <-ctx.Done():
			return waited, ctx.Err()
		}
	}
}

// admit applies Freeze, Drop and Refuse to a new request, and reports whether the
// request may continue.
func (s *faultState) admit(w http.ResponseWriter, r *http.Request) bool {
	if _, err := s.waitUnfrozen(r.Context()); err != nil {
		return false
	}
	faults := s.get()
	if faults.Drop {
		panic(http.ErrAbortHandler)
	}
	if faults.Refuse {
		w.Header().Set("Lacewing-Not-Run", "1")
		writeError(w, http.StatusServiceUnavailable, "refused", "refused before running")
		return false
	}
	return true
}

func readJSON(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return eris.Wrap(ErrInvalidRequest, err.Error())
	}
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, value); err != nil {
		return eris.Wrap(ErrInvalidRequest, err.Error())
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	type detail struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	writeJSON(w, status, map[string]detail{"error": {code, message}})
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
