package eligibility

import "time"

const (
	// OutsideRegions is the reason of the rule Regions.
	OutsideRegions Reason = "no upstream in a permitted region"
	// NoPermittedRegion is the reason for which a request is refused before upstreams are
	// considered: no data centre is in a region that it may be served in.
	NoPermittedRegion Reason = "no data centre in a permitted region"
)

// Regions keeps requests in the regions in which they may be served. It is safe for
// concurrent use.
type Regions struct{}

// Check implements Rule.
func (Regions) Check(_ time.Time, u Upstream, r Request) Reason {
	if r.Permits(u.Region) {
		return ""
	}
	return OutsideRegions
}

// Uniform implements Uniform.
func (Regions) Uniform() {}
