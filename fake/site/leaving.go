package site

import (
	"net/http"
	"slices"
	"time"
)

// Arrival is a request that has reached a runner, whether it ran or not.
type Arrival struct {
	ID     string
	At     time.Time
	Prompt string // Prompt-Prefix
	// Born is the start of the incarnation that it reached, in Unix milliseconds.
	Born int64
	// Leaving is set if the answer said that the runner leaves.
	Leaving bool
	// Wait is for how long the answer asked to be left alone.
	Wait time.Duration
}

// SetLeaving makes all answers of the runner say that it leaves. Work that is in
// progress says so in a trailer.
func (r *Runner) SetLeaving(leaving bool) { r.leaving.Store(leaving) }

// SetRetryAfter makes the runner turn requests away with 503 and the given value of
// Retry-After; it serves again if the value is empty.
func (r *Runner) SetRetryAfter(value string) { r.retryAfter.Store(&value) }

// Restart registers the runner as a new incarnation, which neither leaves nor turns
// requests away.
func (r *Runner) Restart() {
	r.SetLeaving(false)
	r.SetRetryAfter("")
	r.mu.Lock()
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.state = "ready"
	r.mu.Unlock()
	r.register()
}

// Arrivals returns the requests that have reached the runner, in their order.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// arrive records a request and sets the header fields that depend on whether the
// runner leaves. It reports whether the request is turned away.
func (r *Runner) arrive(w http.ResponseWriter, id, prompt string) (turnedAway bool) {
	arrival := Arrival{ID: id, At: time.Now(), Prompt: prompt, Leaving: r.leaving.Load()}
	if arrival.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	retryAfter := r.retryAfter.Load()
	if turnedAway = retryAfter != nil && *retryAfter != ""; turnedAway {
		w.Header().Set("Retry-After", *retryAfter)
		w.Header().Set("Not-Executed", "1")
		arrival.Wait, _ = time.ParseDuration(*retryAfter + "s") // 0 for what is no number of seconds
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	arrival.Born = r.born
	r.arrivals = append(r.arrivals, arrival)
	return turnedAway
}

// sendTrailer says in a trailer that the runner leaves.
func (r *Runner) sendTrailer(w http.ResponseWriter) {
	if r.leaving.Load() {
		w.Header().Set(http.TrailerPrefix+"Server-Leaving", "1")
	}
}
