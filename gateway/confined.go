package gateway

import (
	"slices"
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/placement"
)

// regionParts returns the part of the available capacity that each region has; regions
// holds them by data centre. What the routes permit does not count in shares, since the
// routers exchange only the sums of a workspace over all routes.
func (c *engineCapacity) regionParts(regions map[string]string) map[string]float64 {
	available, byRegion := 0.0, map[string]float64{}
	for dataCentre, engines := range c.listed {
		if _, evacuated := c.evacuated[dataCentre]; !evacuated {
			byRegion[regions[dataCentre]] += float64(engines)
			available += float64(engines)
		}
	}
	for region := range byRegion {
		byRegion[region] /= available
	}
	return byRegion
}

// sharesOf returns the shares that apply to a workspace. The caller must hold mu.
func (p *pools) sharesOf(workspace string) fairshare.Shares {
	if shares, confined := p.confinedShares[workspace]; confined {
		return shares
	}
	return p.shares
}

// countUnserved counts the tokens of a request that placement has refused. The caller
// must hold mu.
//
// A request that only some of the regions of its workspace may serve says nothing about
// the capacity of the others. If its own are full or lost it does not count as requested
// either: the workspace would otherwise count as one with unmet demand, for which the
// others have to leave capacity that it cannot use.
func (p *pools) countUnserved(now time.Time, c *call, a *assignment, first bool) {
	full := slices.Contains([]placement.Reason{placement.Overloaded, placement.RegionsFull, placement.AllLeftAlone, placement.Reason(eligibility.ColdLimited)}, a.Reason)
	lost := slices.Contains([]placement.Reason{placement.Reason(eligibility.OutsideRegions), placement.Reason(eligibility.InEvacuated)}, a.Reason)
	switch {
	case (full || lost) && p.narrowed(c):
		if first {
			p.meter.AddRequested(now, c.workspaceName(), -a.cost)
		}
	case full:
		p.meter.AddRefused(now, c.workspaceName(), a.cost)
	}
}

// narrowed reports whether a request may not be served in a region with a data centre that
// its workspace permits.
func (p *pools) narrowed(c *call) bool {
	request := c.eligibility()
	if request.Regions == nil {
		return false
	}
	ofWorkspace := eligibility.Request{Regions: catalog.PermittedRegions(nil, c.workspace)}
	for region := range p.deployedRegions {
		if ofWorkspace.Permits(region) && !request.Permits(region) {
			return true
		}
	}
	return false
}
