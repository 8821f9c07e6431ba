package eligibility

import "time"

// OutsideRegions is the reason of the rule Regions.
const OutsideRegions Reason = "no upstream in a permitted region"

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
