package gateway

import (
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/eligibility"
)

const (
	// unservableRetry is the retry time for requests that no data centre may serve. Only
	// a new configuration can change that.
	unservableRetry = 5 * time.Second
	// maxRegionFaultLines bounds the log lines about one configuration. A fault of one
	// route and many workspaces is one for each workspace.
	maxRegionFaultLines = 20
)

// requireRegions adds the rule on regions to the pools. It stays from then on, since
// requests that were resolved with an earlier configuration may still be in progress. The
// caller must hold mu.
func (p *pools) requireRegions() {
	if p.restricted {
		return
	}
	p.restricted = true
	p.applyRules()
}

// requireRules adds the rules that a request needs, in case its configuration has not
// reached the pools yet. The caller must hold mu.
func (p *pools) requireRules(c *call) {
	if c.eligibility().Regions != nil {
		p.requireRegions()
	}
}

// deployed reports whether a region has a data centre.
func (p *pools) deployed(region string) bool { return p.deployedRegions[region] }

// regionSet returns the regions that have data centres; regions holds them by data
// centre.
func regionSet(regions map[string]string) map[string]bool {
	set := make(map[string]bool, len(regions))
	for _, region := range regions {
		set[region] = true
	}
	return set
}

// unservable returns why no data centre may serve a request, or "" if one may.
func (p *pools) unservable(c *call) eligibility.Reason {
	regions := c.eligibility().Regions
	if regions == nil {
		return ""
	}
	for _, region := range regions {
		if p.deployed(region) {
			return ""
		}
	}
	return eligibility.NoPermittedRegion
}

// regionFaults writes the region faults of configurations to the log. It is not safe for
// concurrent use, but for its count.
type regionFaults struct {
	logger   *log.Logger
	deployed func(region string) bool
	checked  *catalog.Table // the latest one
	count    atomic.Int64   // of faults in checked; may be read at any time
}

// check writes a line for each route and workspace of a configuration, unless it is the
// previous one, whose requests are refused because no data centre may serve them.
func (f *regionFaults) check(table *catalog.Table) {
	if table == nil || table == f.checked {
		return
	}
	f.checked = table
	faults := table.RegionFaults(f.deployed)
	f.count.Store(int64(len(faults)))
	for _, fault := range faults[:min(len(faults), maxRegionFaultLines)] {
		f.logger.Warn("requests are refused, no data centre in a permitted region", "config", table.Version,
			"route", fault.Route, "workspace", fault.Workspace, "regions", fault.Regions)
	}
	if len(faults) > maxRegionFaultLines {
		f.logger.Warn("further routes and workspaces permit no region with a data centre", "config", table.Version, "count", len(faults)-maxRegionFaultLines)
	}
}
