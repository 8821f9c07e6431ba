package fake

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// ObjectFaults are the injected faults and rate limits of the object API.
// Fractions are between 0 and 1. A Next field is the number of following calls to
// hit.
type ObjectFaults struct {
	// Outage rejects every call and ends pending watches.
	Outage bool `json:"outage"`
	// LatencyMillis plus a uniformly distributed jitter of up to JitterMillis is added
	// to each read and write, half of it before and half after the effect.
	LatencyMillis int64 `json:"latency_ms"`
	JitterMillis  int64 `json:"jitter_ms"`
	// LoseFraction and LoseNext drop the responses of writes that took effect.
	LoseFraction float64 `json:"lose_fraction"`
	LoseNext     int     `json:"lose_next"`
	// DropNext drops write requests before they take effect.
	DropNext int `json:"drop_next"`
	// DelayFraction and DelayNext abort the connection of a write, which takes
	// effect DelayMillis later.
	DelayFraction float64 `json:"delay_fraction"`
	DelayNext     int     `json:"delay_next"`
	DelayMillis   int64   `json:"delay_ms"`
	// StaleFraction and StaleNext return the previous version to reads.
	StaleFraction float64 `json:"stale_fraction"`
	StaleNext     int     `json:"stale_next"`
	// WritesPerSecond and ReadsPerSecond are rate limits in calls per second. Zero or
	// less means unlimited.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// ObjectCounters count calls by kind and the faults that hit them.
type ObjectCounters struct {
	Reads          int64 `json:"reads"`
	Writes         int64 `json:"writes"`
	Watches        int64 `json:"watches"`
	PendingWatches int64 `json:"pending_watches"`
	Conflicts      int64 `json:"conflicts"`
	RateLimited    int64 `json:"rate_limited"`
	Refused        int64 `json:"refused"` // during an outage
	Lost           int64 `json:"lost"`
	Dropped        int64 `json:"dropped"`
	Delayed        int64 `json:"delayed"`
	Stale          int64 `json:"stale"`
	BytesWritten   int64 `json:"bytes_written"`
}

// objectControl is the response of /control of the object API.
type objectControl struct {
	Faults   ObjectFaults   `json:"faults"`
	Counters ObjectCounters `json:"counters"`
}

// SetFaults applies change to the faults and limits.
func (o *Objects) SetFaults(change func(*ObjectFaults)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.faults
	change(&o.faults)
	if before.WritesPerSecond != o.faults.WritesPerSecond || before.ReadsPerSecond != o.faults.ReadsPerSecond {
		o.setLimits()
	}
	if o.faults.Outage {
		o.notifyWatches()
	}
}

// Counters returns the counters since the start.
func (o *Objects) Counters() ObjectCounters {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counters
}

func (o *Objects) setLimits() {
	o.writes = newLimiter(o.faults.WritesPerSecond)
	o.reads = newLimiter(o.faults.ReadsPerSecond)
}

// newLimiter returns a limiter with a burst of a tenth of a second, so that the
// limit holds within each second and not only on average.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// admit applies the outage and the rate limit. The caller must hold o.mu.
func (o *Objects) admit(limiter *rate.Limiter) error {
	if o.faults.Outage {
		o.counters.Refused++
		return eris.Wrap(objectapi.ErrUnavailable, "outage")
	}
	now := time.Now()
	if limiter.AllowN(now, 1) {
		return nil
	}
	o.counters.RateLimited++
	missing := 1 - limiter.TokensAt(now)
	wait := time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
	return &objectapi.RateLimitError{RetryAfter: wait.Round(time.Microsecond)}
}

// faultApplies reports whether a fault applies to this call. The caller must hold
// o.mu.
func (o *Objects) faultApplies(next *int, fraction float64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return fraction > 0 && o.random.Float64() < fraction
}

func (o *Objects) latency() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	latency := time.Duration(o.faults.LatencyMillis) * time.Millisecond
	if o.faults.JitterMillis > 0 {
		jitter := o.random.Float64() * float64(o.faults.JitterMillis)
		latency += time.Duration(math.Round(jitter * float64(time.Millisecond)))
	}
	return latency
}

func staleObject(previous objectapi.Object) (objectapi.Object, error) {
	if previous.Version == 0 {
		return objectapi.Object{}, eris.Wrap(objectapi.ErrNotFound, "stale read")
	}
	return clone(previous), nil
}

func (o *Objects) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		if err := o.updateFaults(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	o.mu.Lock()
	state := objectControl{Faults: o.faults, Counters: o.counters}
	o.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

// updateFaults sets the faults that the JSON body contains and keeps the others.
func (o *Objects) updateFaults(r *http.Request) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	o.mu.Lock()
	changed := o.faults
	o.mu.Unlock()
	if err := decoder.Decode(&changed); err != nil {
		return eris.Wrap(err, "read faults")
	}
	o.SetFaults(func(f *ObjectFaults) { *f = changed })
	return nil
}
