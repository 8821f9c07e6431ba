package catalog

import (
	"maps"
	"slices"
	"strings"
)

// PermittedRegions returns the regions in which a request of a route and a workspace may
// be served; nil permits all, an empty list none. Where both name regions, only those
// that both name are permitted. Either may be nil.
func PermittedRegions(r *Route, w *Workspace) []string {
	var ofRoute, ofWorkspace []string
	if r != nil {
		ofRoute = r.Regions
	}
	if w != nil {
		ofWorkspace = w.Regions
	}
	switch {
	case ofRoute == nil:
		return ofWorkspace
	case ofWorkspace == nil:
		return ofRoute
	}
	both := []string{}
	for _, region := range ofRoute {
		if slices.Contains(ofWorkspace, region) {
			both = append(both, region)
		}
	}
	return both
}

// RestrictsRegions reports whether a route or a workspace names regions.
func (t *Table) RestrictsRegions() bool { return t.restricted }

// restrictsRegions returns the value of RestrictsRegions.
func (t *Table) restrictsRegions() bool {
	for _, list := range t.byHost {
		if slices.ContainsFunc(list, func(r *Route) bool { return r.Regions != nil }) {
			return true
		}
	}
	for _, w := range t.workspaces {
		if w.Regions != nil {
			return true
		}
	}
	return false
}

// HostRegions is what the restricted routes of a host permit together. Routes that permit
// all regions do not count.
type HostRegions struct {
	// Restricted is set if a route of the host names regions.
	Restricted bool
	// Common are the regions that each restricted route permits, Any those that one does.
	Common, Any []string
}

// HostRegions returns what the restricted routes of a host permit. The case and the port
// of host are ignored.
func (t *Table) HostRegions(host string) HostRegions {
	var regions HostRegions
	if !t.restricted {
		return regions
	}
	for _, r := range t.byHost[normalHost(host)] {
		if r.Regions == nil {
			continue
		}
		if !regions.Restricted {
			regions = HostRegions{Restricted: true, Common: slices.Clone(r.Regions), Any: slices.Clone(r.Regions)}
			continue
		}
		regions.Common = slices.DeleteFunc(regions.Common, func(region string) bool { return !slices.Contains(r.Regions, region) })
		regions.Any = append(regions.Any, r.Regions...)
	}
	return regions
}

// normalHost returns a host in lower case and without its port.
func normalHost(host string) string {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	return host
}

// RegionFault is a route, a workspace or both that permit no region with a data centre.
type RegionFault struct {
	// Route and Workspace are names; one of them may be empty.
	Route, Workspace string
	// Regions are those that they permit together.
	Regions []string
}

// RegionFaults returns the routes and workspaces whose requests cannot be served because
// no data centre is in a permitted region. deployed reports whether a region has a data
// centre. A pair is left out if its route or its workspace alone is a fault.
func (t *Table) RegionFaults(deployed func(region string) bool) []RegionFault {
	if !t.restricted {
		return nil
	}
	routes, workspaces := t.restrictedRoutes(), t.restrictedWorkspaces()
	var faults []RegionFault
	check := func(r *Route, w *Workspace) bool {
		regions := PermittedRegions(r, w)
		if slices.ContainsFunc(regions, deployed) {
			return true
		}
		fault := RegionFault{Regions: regions}
		if r != nil {
			fault.Route = r.Name
		}
		if w != nil {
			fault.Workspace = w.Name
		}
		faults = append(faults, fault)
		return false
	}
	routes = slices.DeleteFunc(routes, func(r *Route) bool { return !check(r, nil) })
	workspaces = slices.DeleteFunc(workspaces, func(w *Workspace) bool { return !check(nil, w) })
	for _, r := range routes {
		for _, w := range workspaces {
			check(r, w)
		}
	}
	return faults
}

// restrictedRoutes returns the routes that name regions, sorted by name.
func (t *Table) restrictedRoutes() []*Route {
	var routes []*Route
	for _, list := range t.byHost {
		for _, r := range list {
			if r.Regions != nil {
				routes = append(routes, r)
			}
		}
	}
	slices.SortFunc(routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	return routes
}

// ConfinedWorkspaces returns the regions that workspaces permit, by name, of those that
// name any.
func (t *Table) ConfinedWorkspaces() map[string][]string {
	if !t.restricted {
		return nil
	}
	regions := map[string][]string{}
	for _, w := range t.workspaces {
		if w.Regions != nil {
			regions[w.Name] = w.Regions
		}
	}
	return regions
}

// restrictedWorkspaces returns the workspaces that name regions, sorted by name.
func (t *Table) restrictedWorkspaces() []*Workspace {
	seen := map[*Workspace]bool{}
	for _, w := range t.workspaces {
		if w.Regions != nil {
			seen[w] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b *Workspace) int { return strings.Compare(a.Name, b.Name) })
}
