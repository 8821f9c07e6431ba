package dispatch

import (
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

const (
	// sampleGain is the smoothing factor of an upstream's slowness: the weight of
	// the newest sample. Samples come about twice a second per request, so a
	// slowdown shows within a second.
	sampleGain = 0.4
	// minSampleTime is the minimum time over which the time per token is measured.
	// Over shorter times, the few milliseconds by which each report is delayed
	// would look like a change of speed.
	minSampleTime = 500 * time.Millisecond
)

// health is the observed condition of one upstream. Times are Unix times in
// nanoseconds.
type health struct {
	// slowed is set while the upstream gets no work but probes.
	slowed bool
	// slowness is the moving average of the ratio of its token or call times to
	// the expected ones, zero if unknown.
	slowness     float64
	failures     int    // consecutive
	lastProgress int64  // last progress of any run
	limitChanged int64  // last change of the limit
	probe        string // ID of the running probe, empty for none
	probeAt      int64  // when the next probe is due
	// backoff is the wait before the next probe. It doubles with each failed one.
	backoff time.Duration
}

// Observe records a sample of an upstream.
func (s *Scheduler) Observe(now time.Time, upstreamID string, sample Sample) {
	u := s.byID[upstreamID]
	if u == nil || !s.policy.isLacewing() {
		return
	}
	s.observe(now, u, u.running, sample)
}

// observe records a sample taken while the upstream ran load requests.
func (s *Scheduler) observe(now time.Time, u *upstream, load int, sample Sample) {
	if sample.Failed {
		s.observeFailure(now, u)
		return
	}
	u.health.failures = 0
	if sample.PerToken > 0 {
		s.observeTime(now, u, &s.tokenTimes, load, load, sample.PerToken)
		return
	}
	// An engine's time to first token depends on the length of the prompt, so it
	// is a measure of speed only for plain services, which have no tokens.
	if sample.FirstToken > 0 && s.tokenTimes.empty() {
		s.observeTime(now, u, &s.callTimes, load, load, sample.FirstToken)
	}
}

func (s *Scheduler) observeFailure(now time.Time, u *upstream) {
	u.health.failures++
	s.decrease(now, u)
	if u.health.failures >= s.policy.MaxFailures {
		s.markSlowed(now, u)
	}
}

// observeTime compares a time, measured while between low and high requests ran,
// with the best recent time at that load. An engine is slower the more requests
// it runs, so times at different loads cannot be compared.
func (s *Scheduler) observeTime(now time.Time, u *upstream, times *bestTimes, low, high int, value time.Duration) {
	if low == high {
		times.add(now, s.policy.BestTimeWindow, high, float64(value))
	}
	expected := times.expected(high)
	if expected == 0 {
		return
	}
	ratio := float64(value) / expected
	if u.health.slowed {
		// Only the latest sample counts now: the average would still contain the
		// slow period.
		u.health.slowness = 0
	}
	u.health.slowness = sampleEWMA(u.health.slowness, ratio)
	s.adjust(now, u)
}

// sampleEWMA adds a sample to an exponentially weighted moving average; a mean of
// zero is an empty average.
func sampleEWMA(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + sampleGain*(value-mean)
}

// adjust changes the concurrency limit by additive increase and multiplicative
// decrease (AIMD).
func (s *Scheduler) adjust(now time.Time, u *upstream) {
	ratio := u.health.slowness
	switch {
	case ratio >= s.policy.SlowedRatio:
		s.markSlowed(now, u)
	case ratio >= s.policy.SlowRatio:
		s.decrease(now, u)
	case ratio <= s.policy.HealthyRatio:
		s.recover(now, u)
		s.increase(now, u)
	}
}

func (s *Scheduler) decrease(now time.Time, u *upstream) {
	if !s.limitChangeDue(now, u) {
		return
	}
	u.limit = max(u.limit/2, 1)
}

func (s *Scheduler) increase(now time.Time, u *upstream) {
	if u.limit >= float64(u.config.Slots) || u.running < int(u.limit)-1 || !s.limitChangeDue(now, u) {
		return
	}
	u.limit = min(u.limit+1, float64(u.config.Slots))
}

// limitChangeDue reports whether Policy.LimitInterval has passed since the limit of u
// last changed. If so, it records a change at now.
func (s *Scheduler) limitChangeDue(now time.Time, u *upstream) bool {
	at := now.UnixNano()
	if at-u.health.limitChanged < int64(s.policy.LimitInterval) {
		return false
	}
	u.health.limitChanged = at
	return true
}

// markSlowed takes an upstream out of rotation until a probe succeeds.
func (s *Scheduler) markSlowed(now time.Time, u *upstream) {
	h := &u.health
	if h.slowed {
		return
	}
	h.slowed = true
	h.slowness = 0
	h.backoff = s.policy.ProbeAfter
	h.probeAt = now.Add(h.backoff).UnixNano()
	h.probe = ""
}

// recover returns a slowed upstream to rotation with half of its slots. From
// there the limit grows additively.
func (s *Scheduler) recover(now time.Time, u *upstream) {
	if !u.health.slowed {
		return
	}
	u.health.slowed = false
	u.health.slowness = 0
	u.health.probe = ""
	u.health.failures = 0
	u.health.lastProgress = now.UnixNano()
	u.limit = max(float64(u.config.Slots)/2, 1)
	u.health.limitChanged = now.UnixNano()
}

// beginProbe resets the slowness when a probe starts: a short probe yields too
// few samples to outweigh the average of the slow period.
func (u *upstream) beginProbe(id string) {
	u.health.probe = id
	u.health.slowness = 0
}

// probeFailed schedules the next probe with exponential backoff.
func (s *Scheduler) probeFailed(now time.Time, u *upstream) {
	h := &u.health
	h.probe = ""
	h.backoff = min(2*h.backoff, s.policy.MaxProbeAfter)
	h.probeAt = now.Add(h.backoff).UnixNano()
}

// observeProgress derives the time per token of a run from its usage reports.
func (s *Scheduler) observeProgress(now time.Time, r *run, used ticket.Usage) {
	if used.Cost() <= r.used.Cost() {
		return
	}
	r.upstream.health.lastProgress = now.UnixNano()
	if !s.policy.isLacewing() {
		return
	}
	// The time before the first report includes the processing of the prompt.
	if r.used.GeneratedTokens == 0 {
		r.beginMeasurement(now, used)
		return
	}
	r.lowestLoad = min(r.lowestLoad, r.upstream.running)
	r.highestLoad = max(r.highestLoad, r.upstream.running)
	elapsed := now.Sub(r.measureStart)
	tokens := used.GeneratedTokens - r.measureStartTokens
	if elapsed < minSampleTime || tokens <= 0 {
		return
	}
	u := r.upstream
	u.health.failures = 0
	s.observeTime(now, u, &s.tokenTimes, r.lowestLoad, r.highestLoad, elapsed/time.Duration(tokens))
	r.beginMeasurement(now, used)
}

// beginMeasurement begins the next measurement of the time per token of a run.
func (r *run) beginMeasurement(now time.Time, used ticket.Usage) {
	r.measureStart = now
	r.measureStartTokens = used.GeneratedTokens
	r.lowestLoad, r.highestLoad = r.upstream.running, r.upstream.running
}

// observeFinish records the sample of a finished run and evaluates the probe if
// the run was one.
func (s *Scheduler) observeFinish(now time.Time, r *run, o Outcome, sample Sample) {
	u := r.upstream
	u.health.lastProgress = now.UnixNano()
	if !s.policy.isLacewing() {
		return
	}
	if o == OutcomeFailed {
		sample.Failed = true
	}
	isProbe := u.health.slowed && u.health.probe == r.ticket.ID
	// The mean over the whole run does not measure the speed at the current load,
	// so it is used only for failures, plain calls and probes: a short probe may
	// leave no other sample.
	if sample.Failed || isProbe || sample.PerToken == 0 {
		s.observe(now, u, u.running+1, sample)
	}
	if isProbe {
		s.finishProbe(now, u, o)
	}
}

// finishProbe returns the upstream to rotation if the probe finished and was not
// slow.
func (s *Scheduler) finishProbe(now time.Time, u *upstream, o Outcome) {
	if !u.health.slowed {
		return
	}
	if o == OutcomeDone && u.health.slowness < s.policy.SlowRatio {
		s.recover(now, u)
		return
	}
	s.probeFailed(now, u)
}

// checkUpstreams marks upstreams as slowed whose runs have made no progress for
// Policy.StallAfter.
func (s *Scheduler) checkUpstreams(now time.Time) {
	if !s.policy.isLacewing() {
		return
	}
	at := now.UnixNano()
	stall := int64(s.policy.StallAfter)
	for _, u := range s.upstreams {
		if u.running > 0 && !u.health.slowed && at-u.health.lastProgress >= stall {
			s.markSlowed(now, u)
		}
	}
}

// nextUpstreamCheck returns when the state of the upstream may change without any
// further input, because a probe is due or a stall is detected, as a Unix time in
// nanoseconds; zero for never.
func (s *Scheduler) nextUpstreamCheck(u *upstream) int64 {
	switch {
	case u.closed() || !s.policy.isLacewing():
		return 0
	case u.health.slowed && u.health.probe == "" && len(s.queued) > 0:
		return u.health.probeAt
	case !u.health.slowed && u.running > 0:
		return u.health.lastProgress + int64(s.policy.StallAfter)
	}
	return 0
}

// windowMin tracks the minimum of the values of the current and the previous time
// window; zero means no value.
type windowMin struct {
	current, previous float64
	currentSince      int64 // start of the current window in Unix nanoseconds
}

func (m *windowMin) add(now time.Time, window time.Duration, value float64) {
	if value <= 0 {
		return
	}
	at := now.UnixNano()
	if at-m.currentSince >= int64(window) {
		m.previous, m.current, m.currentSince = m.current, 0, at
	}
	if m.current == 0 || value < m.current {
		m.current = value
	}
}

func (m *windowMin) value() float64 {
	if m.previous == 0 || (m.current != 0 && m.current < m.previous) {
		return m.current
	}
	return m.previous
}

// bestTimes holds the best recent times of all upstreams of the service, indexed
// by the number of requests that the upstream ran at the time.
type bestTimes struct {
	byLoad []windowMin // in nanoseconds
}

func (t *bestTimes) empty() bool { return len(t.byLoad) == 0 }

func (t *bestTimes) add(now time.Time, window time.Duration, load int, value float64) {
	for len(t.byLoad) <= load {
		t.byLoad = append(t.byLoad, windowMin{})
	}
	t.byLoad[load].add(now, window, value)
}

// expected returns the best time at the given load. If none is known, it returns
// the best time at the nearest higher load, which is an upper estimate, or else
// lowerLoadAllowance times that at the nearest lower load. Zero means unknown.
func (t *bestTimes) expected(load int) float64 {
	for higher := load; higher < len(t.byLoad); higher++ {
		if value := t.byLoad[higher].value(); value > 0 {
			return value
		}
	}
	for lower := min(load, len(t.byLoad)) - 1; lower >= 0; lower-- {
		if value := t.byLoad[lower].value(); value > 0 {
			return value * lowerLoadAllowance
		}
	}
	return 0
}

// lowerLoadAllowance is the factor by which a token may take longer than at a
// lower load. An engine with a full batch takes about twice as long per token as
// an idle one.
const lowerLoadAllowance = 2
