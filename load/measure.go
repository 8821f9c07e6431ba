package load

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Result holds the measures of one run. Pointer fields are nil if not measured.
type Result struct {
	// OK is set if no response was incomplete or wrong, no write ran twice, no
	// "not run" was false, and the fairness gap is within its bound.
	OK         bool   `json:"ok"`
	Deployment string `json:"deployment"`
	// Label separates groups of runs of one deployment in a summary.
	Label string `json:"label,omitempty"`
	Seed  uint64 `json:"seed"`
	// Seconds is the time during which requests were sent.
	Seconds float64 `json:"seconds"`

	// Requests counts all requests, and the next fields those with each Status.
	// Resumed and Retried count requests with at least one resume or retry.
	Requests   int `json:"requests"`
	Complete   int `json:"complete"`
	Incomplete int `json:"incomplete"`
	Wrong      int `json:"wrong"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unknown    int `json:"unknown"`
	Lost       int `json:"lost"`
	Abandoned  int `json:"abandoned"`
	Resumed    int `json:"resumed"`
	Retried    int `json:"retried"`

	// DuplicateRuns counts runs of a write after its first. FalseNotRun counts runs
	// of attempts that routers answered with not_run.
	DuplicateRuns int `json:"duplicate_runs"`
	FalseNotRun   int `json:"false_not_run"`
	// RepeatedCompletions counts completion attempts that ran more than once because
	// they were moved, hedged or stopped, which is allowed.
	RepeatedCompletions int `json:"repeated_completions"`

	// FairnessGap and FairnessBound are in milli-units per weight.
	FairnessGap   float64 `json:"fairness_gap"`
	FairnessBound float64 `json:"fairness_bound"`
	// BackloggedFraction is the mean fraction of workspaces with work waiting.
	BackloggedFraction float64 `json:"backlogged_fraction"`
	// LongestStarved is the longest time in milliseconds in which a workspace had
	// work waiting and received no service.
	LongestStarved float64 `json:"longest_starved_ms"`
	// Utilisation is the busy fraction of the engine slots. Like TokensPerSecond and
	// ControlBytesPerNode, it covers the undisturbed part of the run.
	Utilisation     float64 `json:"utilisation"`
	TokensPerSecond float64 `json:"tokens_per_s"`
	// ControlBytesPerNode is the mean rate at which a router sends to other routers,
	// in bytes per second.
	ControlBytesPerNode *float64 `json:"control_bytes_per_node_s"`

	// ShortWaitP50 and ShortWaitP95 are queueing times of questions of normal
	// workspaces in milliseconds.
	ShortWaitP50 float64 `json:"short_wait_p50_ms"`
	ShortWaitP95 float64 `json:"short_wait_p95_ms"`
	// Deadlines and CrestDeadlines are the fractions of deadlines of normal
	// workspaces that were met, over all arrivals and over those at the crest.
	CrestDeadlines *float64 `json:"crest_deadline_met"`
	Deadlines      *float64 `json:"deadline_met"`
	// ShortP99 and SlowedShortP99 are total times of questions of normal workspaces
	// in milliseconds, without and with slowed runners. SlowedP99Ratio is their
	// ratio.
	ShortP99       float64  `json:"short_p99_ms"`
	SlowedShortP99 *float64 `json:"slowed_short_p99_ms"`
	SlowedP99Ratio *float64 `json:"slowed_p99_ratio"`
	// FirstTokenP95 and BetweenTokenP95 are times in milliseconds of streamed
	// questions of normal workspaces.
	FirstTokenP95   float64 `json:"first_token_p95_ms"`
	BetweenTokenP95 float64 `json:"between_tokens_p95_ms"`

	// Codes counts requests by status and error code, except complete and abandoned
	// ones.
	Codes      map[string]int            `json:"codes,omitempty"`
	Workspaces map[string]WorkspaceShare `json:"workspaces"`
}

// WorkspaceShare is the service that one workspace received.
type WorkspaceShare struct {
	Role     Role         `json:"role"`
	Weight   float64      `json:"weight"`
	Requests int          `json:"requests"`
	Complete int          `json:"complete"`
	Service  ticket.Units `json:"service"`
}

// measure computes the result of a run from the outcomes and the snapshots at the
// start, at the end of the undisturbed part, and at the end of the run.
func measure(s Settings, d deployment.Description, runName string, outcomes []Outcome, before, undisturbedEnd, after snapshot) Result {
	r := Result{Deployment: d.Name, Seed: s.Seed, Seconds: s.Duration.Seconds(), Codes: map[string]int{}}
	r.countStatuses(outcomes)
	r.checkLedgers(runName, outcomes, after)
	r.measureFairness(s, d, outcomes)
	r.measureThroughput(before, undisturbedEnd)
	r.measureLatencies(s, outcomes)
	r.measureDeadlines(s, outcomes)
	r.measureWorkspaces(d, outcomes)
	r.OK = r.Incomplete == 0 && r.Wrong == 0 && r.DuplicateRuns == 0 && r.FalseNotRun == 0 &&
		r.FairnessGap <= r.FairnessBound
	return r
}

func (r *Result) countStatuses(outcomes []Outcome) {
	counters := map[Status]*int{
		StatusComplete: &r.Complete, StatusIncomplete: &r.Incomplete, StatusWrong: &r.Wrong,
		StatusRefused: &r.Refused, StatusFailed: &r.Failed, StatusUnknown: &r.Unknown,
		StatusLost: &r.Lost, StatusAbandoned: &r.Abandoned,
	}
	r.Requests = len(outcomes)
	for _, o := range outcomes {
		*counters[o.Status]++
		if o.Resumes > 0 {
			r.Resumed++
		}
		if len(o.Attempts) > 1 {
			r.Retried++
		}
		if o.Status != StatusComplete && o.Status != StatusAbandoned {
			r.Codes[string(o.Status)+" "+o.Code]++
		}
	}
}

// checkLedgers counts duplicate runs and false "not run" answers by comparing the
// outcomes with the ledgers of the fake services.
func (r *Result) checkLedgers(runName string, outcomes []Outcome, after snapshot) {
	keyed, completions := after.keyedRuns(), after.completionRuns()
	for _, o := range outcomes {
		if o.Request.Kind == KindCommit {
			runs := keyed[keyForRequest(runName, o.Request.Index)]
			r.DuplicateRuns += max(runs-1, 0)
			r.FalseNotRun += falseNotRun(o, runs)
		}
		if o.Request.IsPlain() {
			continue
		}
		for _, a := range o.Attempts {
			runs := completions[a.ID]
			if a.NotRun && runs > 0 {
				r.FalseNotRun++
			}
			if runs > 1 {
				r.RepeatedCompletions++
			}
		}
	}
}

// falseNotRun returns how many runs of a key exceed the attempts that may have
// run, that is, those that were not answered with "not run".
func falseNotRun(o Outcome, runs int) int {
	possible := 0
	for _, a := range o.Attempts {
		if !a.NotRun {
			possible++
		}
	}
	return max(runs-possible, 0)
}

func (r *Result) measureFairness(s Settings, d deployment.Description, outcomes []Outcome) {
	engine := workspaceEvents(outcomes, false, s.Duration)
	plain := workspaceEvents(outcomes, true, s.Duration)
	r.FairnessGap = max(fairnessGap(engine, d.Keys), fairnessGap(plain, d.Keys))
	r.FairnessBound = s.Bound.units(totalService(engine) / s.Duration.Seconds())
	r.LongestStarved = inMillis(longestStarved(engine, len(d.Keys), s.Duration))
	r.BackloggedFraction = backloggedFraction(engine, len(d.Keys), s.Duration)
}

// measureThroughput compares the snapshots at both ends of the undisturbed part.
func (r *Result) measureThroughput(before, undisturbedEnd snapshot) {
	if available := undisturbedEnd.slotTime() - before.slotTime(); available > 0 {
		r.Utilisation = (undisturbedEnd.busySlotTime() - before.busySlotTime()) / available
	}
	seconds := (undisturbedEnd.at - before.at).Seconds()
	tokens := int64(0)
	for i := range undisturbedEnd.engines {
		tokens += undisturbedEnd.engines[i].Tokens - before.engines[i].Tokens
	}
	r.TokensPerSecond = float64(tokens) / seconds
	r.ControlBytesPerNode = meanRatePerNode(before.sent, undisturbedEnd.sent, seconds)
}

// newHistogram returns a histogram of durations in microseconds up to ten minutes.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func percentileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

// measureLatencies covers the questions of normal workspaces.
func (r *Result) measureLatencies(s Settings, outcomes []Outcome) {
	waits, firstTokens, tokenGaps := newHistogram(), newHistogram(), newHistogram()
	latencies, slowedLatencies := newHistogram(), newHistogram()
	undisturbedEnd := s.undisturbedDuration()
	for _, o := range outcomes {
		if o.Request.Role != RoleNormal || o.Request.Kind != KindQuestion {
			continue
		}
		if o.Request.At >= undisturbedEnd {
			if o.Status == StatusComplete {
				record(slowedLatencies, o.End-o.Request.At)
			}
			continue
		}
		record(waits, o.waited())
		if o.Status != StatusComplete {
			continue
		}
		record(latencies, o.End-o.Request.At)
		if !o.Request.NonStreaming {
			record(firstTokens, o.FirstOutput-o.Request.At)
			o.recordTokenGaps(tokenGaps)
		}
	}
	r.ShortWaitP50, r.ShortWaitP95 = percentileMillis(waits, 50), percentileMillis(waits, 95)
	r.FirstTokenP95, r.BetweenTokenP95 = percentileMillis(firstTokens, 95), percentileMillis(tokenGaps, 95)
	r.ShortP99 = percentileMillis(latencies, 99)
	if s.SlowRunners > 0 && slowedLatencies.TotalCount() > 0 && r.ShortP99 > 0 {
		p99 := percentileMillis(slowedLatencies, 99)
		ratio := p99 / r.ShortP99
		r.SlowedShortP99, r.SlowedP99Ratio = &p99, &ratio
	}
}

// waited returns the total queueing time over all attempts.
func (o Outcome) waited() time.Duration {
	total := time.Duration(0)
	for _, a := range o.Attempts {
		total += a.Waited
	}
	return total
}

// recordTokenGaps records the times between two arrivals of tokens.
func (o Outcome) recordTokenGaps(h *hdrhistogram.Histogram) {
	for i := 1; i < len(o.tokens); i++ {
		record(h, o.tokens[i].at-o.tokens[i-1].at)
	}
}

// measureDeadlines covers normal workspaces in the undisturbed part of the run.
func (r *Result) measureDeadlines(s Settings, outcomes []Outcome) {
	var all, crest, metAll, metCrest int
	for _, o := range outcomes {
		q := o.Request
		if q.Role != RoleNormal || q.Deadline == 0 || q.At >= s.undisturbedDuration() {
			continue
		}
		met := o.Status == StatusComplete && o.End-q.At <= q.Deadline
		all++
		if met {
			metAll++
		}
		if !q.Crest {
			continue
		}
		crest++
		if met {
			metCrest++
		}
	}
	r.Deadlines, r.CrestDeadlines = fraction(metAll, all), fraction(metCrest, crest)
}

func fraction(part, whole int) *float64 {
	if whole == 0 {
		return nil
	}
	f := float64(part) / float64(whole)
	return &f
}

func (r *Result) measureWorkspaces(d deployment.Description, outcomes []Outcome) {
	r.Workspaces = map[string]WorkspaceShare{}
	assigned := roles(d.Keys)
	for i, key := range d.Keys {
		r.Workspaces[key.Workspace] = WorkspaceShare{Role: assigned[i], Weight: key.Weight}
	}
	for _, o := range outcomes {
		name := d.Keys[o.Request.Workspace].Workspace
		share := r.Workspaces[name]
		share.Requests++
		if o.Status == StatusComplete {
			share.Complete++
		}
		for _, s := range serviceEvents(o) {
			share.Service += s.service
		}
		r.Workspaces[name] = share
	}
}
