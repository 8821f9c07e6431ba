// Package eligibility holds the rules that say whether an upstream may get a request at
// all, whatever its load and its health. Rules do no I/O and take the time as an
// argument. They are not safe for concurrent use unless they say so.
package eligibility

import (
	"slices"
	"time"
)

// Upstream is what rules know of a candidate.
type Upstream struct {
	ID string
	// StartedMs is when the instance started, in Unix milliseconds.
	StartedMs          int64
	DataCentre, Region string
}

// Request is what rules know of a request.
type Request struct {
	// Regions are those in which the request may be served; nil permits all.
	Regions []string
	// Assigned is set if the request was assigned to the upstream before and is about to
	// be sent.
	Assigned bool
}

// Permits reports whether the request may be served in a region. Only requests that any
// region may serve are permitted where the region is not known.
func (r Request) Permits(region string) bool {
	return r.Regions == nil || region != "" && slices.Contains(r.Regions, region)
}

// Reason is why an upstream must not get a request; empty if it may.
type Reason string

// Rule is one reason for which an upstream may have to be left out.
type Rule interface {
	// Check returns why the upstream must not get the request now, or "" if it may.
	Check(now time.Time, u Upstream, r Request) Reason
}

// Chain is a list of rules, all of which an upstream has to pass.
type Chain []Rule

// Check returns the reason of the first rule that the upstream does not pass and the
// number of rules that it passed before, or "" if it passes all.
func (c Chain) Check(now time.Time, u Upstream, r Request) (reason Reason, passed int) {
	for i, rule := range c {
		if reason := rule.Check(now, u, r); reason != "" {
			return reason, i
		}
	}
	return "", len(c)
}
