package quarantine

import (
	"time"

	"github.com/lacewingshift/lacewingshift/placement"
)

const (
	// ProvenEvents is the number of events after which an upstream counts as having
	// written an answer: it does not crash any more for beginning one.
	ProvenEvents = 4
	// confirmWindow is how long attempts that broke off wait for the result of a
	// check, and for how long after it others at the same instance belong to the same
	// crash.
	confirmWindow = 2 * time.Second
	// maxAttempts bounds the attempts that wait for a check.
	maxAttempts = 1024
)

// Attempt is a request at an upstream whose connection ended before its answer did.
type Attempt struct {
	Service  string
	Instance placement.Instance
	Parts    []placement.Part
	Answered bool // the head of the answer has arrived
	Events   int  // that have arrived
}

// Detector tells crashes of upstreams from connections that only broke off. An upstream
// has crashed if it accepts no connection afterwards.
type Detector struct {
	table   *Table
	pending map[placement.Instance]*brokenOff
	count   int // attempts in pending
}

// brokenOff holds what broke off at one instance.
type brokenOff struct {
	since    time.Time
	crashed  bool // as a check has shown; further attempts are evidence at once
	attempts []timedAttempt
}

type timedAttempt struct {
	Attempt
	at time.Time
}

// NewDetector returns a detector that records crashes in a table.
func NewDetector(t *Table) *Detector {
	return &Detector{table: t, pending: map[placement.Instance]*brokenOff{}}
}

// BrokeOff records an attempt that broke off. It reports whether the caller has to check
// whether the instance still accepts connections.
func (d *Detector) BrokeOff(now time.Time, a Attempt) (check bool) {
	if a.Events >= ProvenEvents || len(candidates(a.Parts)) == 0 {
		return false
	}
	d.dropOld(now)
	b := d.pending[a.Instance]
	if b != nil && b.crashed {
		d.record(timedAttempt{a, now})
		return false
	}
	if d.count >= maxAttempts {
		return false
	}
	if b == nil {
		b = &brokenOff{since: now}
		d.pending[a.Instance] = b
	}
	b.attempts = append(b.attempts, timedAttempt{a, now})
	d.count++
	return len(b.attempts) == 1
}

// Checked records whether an instance has crashed, as a check has shown. It returns the
// number of attempts that are evidence.
func (d *Detector) Checked(i placement.Instance, crashed bool) int {
	b := d.pending[i]
	if b == nil || b.crashed {
		return 0
	}
	attempts := b.attempts
	d.count -= len(attempts)
	b.attempts, b.crashed = nil, crashed
	if !crashed {
		delete(d.pending, i)
		return 0
	}
	for _, a := range attempts {
		d.record(a)
	}
	return len(attempts)
}

func (d *Detector) record(a timedAttempt) {
	d.table.Crashed(a.at, a.Service, a.Instance, a.Parts, a.Answered && a.Events == 0)
}

func (d *Detector) dropOld(now time.Time) {
	for i, b := range d.pending {
		if now.Sub(b.since) > confirmWindow {
			d.count -= len(b.attempts)
			delete(d.pending, i)
		}
	}
}
