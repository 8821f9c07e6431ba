package fairshare

import "time"

const (
	// maxBurst is the time over which a bucket may save up tokens.
	maxBurst = time.Second
	// minCorrection and maxCorrection bound the correction of a share for what was
	// granted before. A workspace that got too much is slowed down, not stopped.
	minCorrection = 0.5
	maxCorrection = 1.5
	// maxSpare bounds the spare capacity of a workspace, as a multiple of its share.
	maxSpare = 1
	// bucketIdleTimeout is the time after which an unused bucket is dropped. A
	// workspace may then be in debt by the cost of one request.
	bucketIdleTimeout = 10 * time.Second
)

// Rates returns how many tokens per second one router may grant to a workspace,
// within its share and beyond it, so that all routers together grant the share and
// the spare capacity within the window. Each router gets the part of both that it
// has of the workspace's requested tokens, own of total. Late or lost reports change
// these parts little.
//
// Both rates are corrected in proportion to what the workspace was granted. The
// gain is low enough for reports that are late by a good part of the window.
func (s Shares) Rates(own, total Tokens, window time.Duration) (share, spare float64) {
	if s.MaxMinShare <= 0 || total.Requested <= 0 {
		return 0, 0
	}
	usage := s.Usage(total.Granted, 0)
	part := s.MaxMinShare / window.Seconds() * own.Requested / total.Requested
	share = part * min(max(1+(1-usage), minCorrection), maxCorrection)
	spare = part * min(max(s.LowestUsage+spareSlack-usage, 0), maxSpare)
	return share, spare
}

// Unreported estimates what the other routers have granted to a workspace since
// their reports: as much in proportion to the requests as this router has, which
// granted recent tokens meanwhile.
func Unreported(recent float64, own, others Tokens) float64 {
	if own.Requested <= 0 {
		return 0
	}
	return recent * others.Requested / own.Requested
}

// Backlogged reports whether a workspace requests more than its share.
func (s Shares) Backlogged(total Tokens) bool {
	return s.MaxMinShare > 0 && total.Requested > s.MaxMinShare
}

// Buckets limits what one router grants to each workspace by token buckets. A
// request may take more tokens than its bucket holds, because one request can be
// larger than a router's part of a share; the bucket is then in debt. It is not safe
// for concurrent use.
type Buckets struct {
	byWorkspace map[string]*bucket
}

// bucket holds the tokens that a router may still grant.
type bucket struct {
	tokens   float64 // negative while in debt
	filledAt time.Time
}

// NewBuckets returns empty buckets.
func NewBuckets() *Buckets { return &Buckets{byWorkspace: map[string]*bucket{}} }

// Fill adds what a workspace may be granted since the previous call, at the given
// rate in tokens per second, and reports whether its bucket holds any. A new bucket
// is empty.
func (b *Buckets) Fill(now time.Time, workspace string, rate float64) bool {
	w := b.byWorkspace[workspace]
	if w == nil {
		w = &bucket{filledAt: now}
		b.byWorkspace[workspace] = w
	}
	if elapsed := now.Sub(w.filledAt); elapsed > 0 {
		w.tokens = min(w.tokens+rate*elapsed.Seconds(), rate*maxBurst.Seconds())
		w.filledAt = now
	}
	return w.tokens > 0
}

// Take removes tokens from the bucket of a workspace. A negative number returns
// tokens of a request that did not run.
func (b *Buckets) Take(workspace string, tokens float64) {
	if w := b.byWorkspace[workspace]; w != nil {
		w.tokens -= tokens
	}
}

// DropIdle drops the buckets that were not used lately.
func (b *Buckets) DropIdle(now time.Time) {
	for workspace, w := range b.byWorkspace {
		if now.Sub(w.filledAt) > bucketIdleTimeout {
			delete(b.byWorkspace, workspace)
		}
	}
}
