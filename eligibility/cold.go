package eligibility

import "time"

// ColdLimited is the reason of the rule Cold.
const ColdLimited Reason = "upstreams are cold"

// ColdUpstreams tells which upstreams are cold and what this router may send to them.
type ColdUpstreams interface {
	// Allows reports whether one more request may be assigned to an upstream.
	Allows(now time.Time, id string) bool
	// Permits reports whether requests that were assigned to it may be sent.
	Permits(now time.Time, id string) bool
}

// Cold keeps requests away from cold upstreams, unless this router holds the permit for
// one and has a token left. It is as safe for concurrent use as Upstreams is.
type Cold struct{ Upstreams ColdUpstreams }

// Check implements Rule.
func (c Cold) Check(now time.Time, u Upstream, r Request) Reason {
	permitted := c.Upstreams.Allows
	if r.Assigned {
		permitted = c.Upstreams.Permits
	}
	if permitted(now, u.ID) {
		return ""
	}
	return ColdLimited
}
