package dispatch

import (
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

// Kind selects the scheduling policy.
type Kind string

// Policies. KindFIFO and KindFairLocal are baselines for comparison.
const (
	// KindLacewing is the production policy: weighted fair queueing within a
	// window, with deadlines, prefix affinity, preemption of long work, slow
	// upstream detection and exchange of tickets between cells.
	KindLacewing Kind = "lacewing"
	// KindFIFO is one first-in-first-out queue with round robin over upstreams.
	KindFIFO Kind = "fifo"
	// KindFairLocal is a fair queue per router that sends to the upstream with
	// the fewest outstanding requests and exchanges no tickets with other cells.
	KindFairLocal Kind = "fair_local"
)

// Policy holds the tunables of a Scheduler.
type Policy struct {
	Kind Kind

	// Window is how far above the lowest virtual service a workspace may be and
	// still be chosen for its deadline or prefix, in milli-units per weight.
	Window ticket.Units
	// MaxLead is how far a backlogged workspace may be ahead of the lowest one, in
	// milli-units per weight. Larger leads arise only from merged counters after a
	// partition or from work granted while no other workspace waited.
	MaxLead ticket.Units

	// LongWorkCost is the cost from which work counts as long, in milli-units.
	LongWorkCost ticket.Units
	// LongShare is the share of an upstream's slots that long work may use while
	// short work waits.
	LongShare float64
	// MaxStops is the maximum number of times that one request is stopped
	// (preempted).
	MaxStops int
	// MinRunBeforeStop is the minimum run time before a run may be stopped. A
	// restart processes the prompt again, so shorter runs would waste capacity.
	MinRunBeforeStop time.Duration
	// ShortGrace is how long short work has to wait before long work above
	// LongShare is stopped for it.
	ShortGrace time.Duration

	// DefaultCost is the estimated cost, in milli-units, of a request without a
	// hint in a workspace without finished requests. The prompt is added to it.
	DefaultCost ticket.Units
	// DefaultUnitTime is the initial value of the moving average of the run time of
	// one milli-unit.
	DefaultUnitTime time.Duration
	// AdmitRunTimeFactor and QueueRunTimeFactor scale the estimated run time when
	// checking whether a deadline can still be met, on arrival and in the queue.
	// Estimates are rough, so an arriving ticket is refused only in clear cases: it
	// may find a free slot. A ticket that had to queue shows that capacity is short,
	// and a slot spent on a request that misses its deadline is lost to the others.
	AdmitRunTimeFactor float64
	QueueRunTimeFactor float64
	// QueueGrace is the minimum time that an admitted ticket may wait for a slot.
	QueueGrace time.Duration
	// AssumedDeadline is the time from arrival to the deadline that is assumed when
	// ordering tickets without one.
	AssumedDeadline time.Duration

	// MaxQueuedTotal is the maximum number of waiting tickets in the cell.
	MaxQueuedTotal int
	// MaxQueuedDefault is the maximum number of waiting tickets of a workspace
	// whose plan sets no limit.
	MaxQueuedDefault int
	// NoUpstreamGrace is how long tickets wait while the cell has no upstream.
	NoUpstreamGrace time.Duration

	// SlowRatio is the threshold from which an upstream's concurrency limit is
	// halved. It applies to the ratio of the upstream's time per token, or per plain
	// call, to the best recent time of the service at the same load. Engines with a
	// full batch take up to 2.25 times as long per token as idle ones, and the
	// scheduler does not know how many of the running requests have finished their
	// prompt, so all three thresholds have to be above 2.25.
	SlowRatio float64
	// SlowedRatio is the threshold of the same ratio from which the upstream gets
	// only probes.
	SlowedRatio float64
	// HealthyRatio is the threshold of the same ratio up to which the limit grows
	// again.
	HealthyRatio float64
	// LimitInterval is the minimum time between two changes of a limit.
	LimitInterval time.Duration
	// StallAfter is how long the runs of an upstream may make no progress before
	// it counts as slowed.
	StallAfter time.Duration
	// MaxFailures is the number of consecutive failures after which an upstream
	// counts as slowed.
	MaxFailures int
	// ProbeAfter is the wait before the first probe of a slowed upstream. It
	// doubles with each failed probe, up to MaxProbeAfter.
	ProbeAfter    time.Duration
	MaxProbeAfter time.Duration
	// BestTimeWindow is the length of the time windows over which the best token and
	// call times of the service are kept.
	BestTimeWindow time.Duration

	// PrefixTTL is how long an upstream is assumed to keep a prefix cached.
	PrefixTTL time.Duration
	// MaxPrefixes is the maximum number of prefixes remembered for one upstream.
	MaxPrefixes int
	// AffinityBonus is the time by which a cached prefix moves a ticket forward in
	// the order of slack.
	AffinityBonus time.Duration

	// ExchangeThreshold is how far a remote backlogged workspace has to be behind
	// every local one before its tickets are pulled, in milli-units per weight.
	ExchangeThreshold ticket.Units
	// PullTimeout is how long the slots of a pull stay reserved.
	PullTimeout time.Duration
	// SummaryTTL is the age beyond which a remote summary is ignored.
	SummaryTTL time.Duration
	// FullSummaryEvery makes every n-th summary carry all counters, which repairs
	// the loss of single messages. Zero means never.
	FullSummaryEvery int
}

// DefaultPolicy returns the policy for the fleet size that the project targets.
func DefaultPolicy() Policy {
	return Policy{
		Kind:               KindLacewing,
		Window:             200 * ticket.GeneratedTokenPrice,
		MaxLead:            20_000 * ticket.GeneratedTokenPrice,
		LongWorkCost:       300 * ticket.GeneratedTokenPrice,
		LongShare:          0.5,
		MaxStops:           3,
		MinRunBeforeStop:   2 * time.Second,
		ShortGrace:         100 * time.Millisecond,
		DefaultCost:        150 * ticket.GeneratedTokenPrice,
		DefaultUnitTime:    50 * time.Microsecond,
		AdmitRunTimeFactor: 0.5,
		QueueRunTimeFactor: 0.9,
		QueueGrace:         50 * time.Millisecond,
		AssumedDeadline:    30 * time.Second,
		MaxQueuedTotal:     20_000,
		MaxQueuedDefault:   2_000,
		NoUpstreamGrace:    3 * time.Second,
		SlowRatio:          2.6,
		SlowedRatio:        3.5,
		HealthyRatio:       2.3,
		LimitInterval:      500 * time.Millisecond,
		StallAfter:         2 * time.Second,
		MaxFailures:        3,
		ProbeAfter:         2 * time.Second,
		MaxProbeAfter:      30 * time.Second,
		BestTimeWindow:     30 * time.Second,
		PrefixTTL:          60 * time.Second,
		MaxPrefixes:        512,
		AffinityBonus:      500 * time.Millisecond,
		ExchangeThreshold:  200 * ticket.GeneratedTokenPrice,
		PullTimeout:        100 * time.Millisecond,
		SummaryTTL:         2 * time.Second,
		FullSummaryEvery:   10,
	}
}

// isLacewing reports whether the policy is KindLacewing. An empty or unknown kind
// counts as KindLacewing.
func (p Policy) isLacewing() bool { return p.Kind != KindFIFO && p.Kind != KindFairLocal }
