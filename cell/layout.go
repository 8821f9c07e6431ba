package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// cellSpec is one cell as defined by the view. All routers with the same view
// compute the same cells.
type cellSpec struct {
	name      string
	service   string
	region    string
	upstreams []objectapi.Host
	// rank lists the routers that may hold the cell, that is be its dispatcher, in
	// order of preference. The first is the assigned holder.
	rank []string
}

// layout is the set of cells defined by a view.
type layout struct {
	byName map[string]*cellSpec
	// names lists the cells in sorted order, so that steps are deterministic.
	names []string
	// byGroup holds the cells of each service and region by their index.
	byGroup map[group][]*cellSpec
	// cellOf maps an upstream to its cell.
	cellOf map[string]string
	// region maps a live router to its region.
	region map[string]string
	// regions lists the regions with a live router.
	regions []string
}

// acceptsWork reports whether any upstream of the cell accepts new requests.
func (spec *cellSpec) acceptsWork() bool {
	return slices.ContainsFunc(spec.upstreams, func(u objectapi.Host) bool { return !u.Leaving && u.Slots > 0 })
}

// group identifies the cells of one service in one region.
type group struct{ service, region string }

// newLayout computes the cells of a view. For excluded see candidatesByRegion; ""
// excludes no router.
func newLayout(v View, maxUpstreams int, excluded string) *layout {
	l := &layout{
		byName:  map[string]*cellSpec{},
		byGroup: map[group][]*cellSpec{},
		cellOf:  map[string]string{},
		region:  map[string]string{},
	}
	for _, r := range v.Routers {
		l.region[r.Host] = r.Region
	}
	candidates := candidatesByRegion(v.Routers, excluded)
	l.regions = sortedKeys(candidates)
	upstreams := upstreamsByGroup(v.Upstreams)
	for _, service := range services(v) {
		for _, region := range l.regions {
			g := group{service, region}
			l.addGroup(g, upstreams[g], maxUpstreams, candidates[region])
		}
	}
	l.names = sortedKeys(l.byName)
	return l
}

// candidatesByRegion returns the routers of each region that may hold cells.
// Leaving routers, and the router named excluded, are candidates only if their
// region has no other live router.
func candidatesByRegion(routers []Router, excluded string) map[string][]string {
	staying := map[string][]string{}
	live := map[string][]string{}
	for _, r := range routers {
		live[r.Region] = append(live[r.Region], r.Host)
		if !r.Leaving && r.Host != excluded {
			staying[r.Region] = append(staying[r.Region], r.Host)
		}
	}
	for region, hosts := range live {
		if len(staying[region]) == 0 {
			staying[region] = hosts
		}
	}
	return staying
}

// upstreamsByGroup returns the upstreams of each service and region, sorted by id.
func upstreamsByGroup(hosts []objectapi.Host) map[group][]objectapi.Host {
	groups := map[group][]objectapi.Host{}
	for _, h := range hosts {
		if h.Kind != "" && h.Kind != objectapi.HostUpstream {
			continue
		}
		g := group{h.Service, h.Region}
		groups[g] = append(groups[g], h)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b objectapi.Host) int { return cmp.Compare(a.ID, b.ID) })
	}
	return groups
}

// services returns the services that have limits or upstreams, sorted.
func services(v View) []string {
	set := map[string]bool{}
	for s := range v.Limits {
		set[s] = true
	}
	for _, h := range v.Upstreams {
		if h.Service != "" {
			set[h.Service] = true
		}
	}
	return sortedKeys(set)
}

// addGroup splits the upstreams of one service in one region into cells. A group
// without upstreams has one cell, which lends all its tickets to other cells.
func (l *layout) addGroup(g group, upstreams []objectapi.Host, maxUpstreams int, routers []string) {
	count := max(1, (len(upstreams)+maxUpstreams-1)/maxUpstreams)
	cells := make([]*cellSpec, count)
	for i := range cells {
		spec := &cellSpec{name: cellName(g, i), service: g.service, region: g.region}
		spec.rank = rendezvous(spec.name, routers)
		cells[i] = spec
		l.byName[spec.name] = spec
	}
	l.byGroup[g] = cells
	for _, u := range upstreams {
		spec := pickCell(cells, u.ID, maxUpstreams)
		spec.upstreams = append(spec.upstreams, u)
		l.cellOf[u.ID] = spec.name
	}
}

// pickCell returns the cell with the highest score for key that has room for one
// more upstream. Rendezvous hashing moves few upstreams when the number of cells
// changes.
func pickCell(cells []*cellSpec, key string, maxUpstreams int) *cellSpec {
	var best *cellSpec
	var bestScore uint64
	for _, spec := range cells {
		score := score(key, spec.name)
		if len(spec.upstreams) < maxUpstreams && (best == nil || score > bestScore) {
			best, bestScore = spec, score
		}
	}
	return best
}

// homeCell returns the cell that gets the ticket of a request of the region, "" if
// the service is unknown. It depends only on the request id and the cells, so that
// a resubmitted request gets the same cell.
func (l *layout) homeCell(service, region, id string) string {
	cells := l.byGroup[group{service, region}]
	if len(cells) == 0 {
		return ""
	}
	best := cells[0]
	bestScore := score(id, best.name)
	for _, spec := range cells[1:] {
		if s := score(id, spec.name); s > bestScore {
			best, bestScore = spec, s
		}
	}
	return best.name
}

// siblings returns the other cells of the same service in all regions.
func (l *layout) siblings(name string) []*cellSpec {
	spec := l.byName[name]
	if spec == nil {
		return nil
	}
	var found []*cellSpec
	for _, region := range l.regions {
		for _, other := range l.byGroup[group{spec.service, region}] {
			if other != spec {
				found = append(found, other)
			}
		}
	}
	return found
}

// routersOf returns the live routers of a region, sorted.
func (l *layout) routersOf(region string) []string {
	var hosts []string
	for host, r := range l.region {
		if r == region {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// served reports whether any cell of the service accepts new requests.
func (l *layout) served(service string) bool {
	for _, region := range l.regions {
		for _, spec := range l.byGroup[group{service, region}] {
			if spec.acceptsWork() {
				return true
			}
		}
	}
	return false
}

func (l *layout) liveHosts() map[string]bool {
	hosts := make(map[string]bool, len(l.region))
	for host := range l.region {
		hosts[host] = true
	}
	return hosts
}

func (l *layout) isLive(host string) bool {
	_, ok := l.region[host]
	return ok
}

// assignedHolder returns the router that the view assigns the cell to.
func (l *layout) assignedHolder(name string) string {
	spec := l.byName[name]
	if spec == nil || len(spec.rank) == 0 {
		return ""
	}
	return spec.rank[0]
}

func cellName(g group, index int) string {
	return fmt.Sprintf("%s/%s/%d", g.service, g.region, index)
}

// rendezvous ranks hosts for key by highest random weight (rendezvous hashing).
func rendezvous(key string, hosts []string) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// score returns the rendezvous weight of item for key.
func score(key, item string) uint64 {
	return xxhash.Sum64String(key + "\x00" + item)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
