package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// place is one cell as the view defines it. All routers with the same view
// compute the same places.
type place struct {
	name      string
	service   string
	region    string
	upstreams []objectapi.Host
	// rank lists the routers that may hold the cell, the rightful holder first.
	rank []string
}

// layout is the set of cells that a view defines.
type layout struct {
	places map[string]*place
	// names lists the cells in order, so that steps are deterministic.
	names []string
	// byGroup maps service and region to the cells, by index.
	byGroup map[group][]*place
	// cellOf maps upstream to cell.
	cellOf map[string]string
	// region maps live router to region.
	region map[string]string
	// regions lists those with a live router.
	regions []string
}

// takesWork tells whether any upstream of the cell takes new work.
func (p *place) takesWork() bool {
	return slices.ContainsFunc(p.upstreams, func(u objectapi.Host) bool { return !u.Leaving && u.Slots > 0 })
}

type group struct{ service, region string }

func newLayout(v View, maxUpstreams int, left string) *layout {
	l := &layout{
		places:  map[string]*place{},
		byGroup: map[group][]*place{},
		cellOf:  map[string]string{},
		region:  map[string]string{},
	}
	for _, r := range v.Routers {
		l.region[r.Host] = r.Region
	}
	candidates := candidatesByRegion(v.Routers, left)
	l.regions = sortedKeys(candidates)
	upstreams := upstreamsByGroup(v.Upstreams)
	for _, service := range services(v) {
		for _, region := range l.regions {
			g := group{service, region}
			l.addGroup(g, upstreams[g], maxUpstreams, candidates[region])
		}
	}
	l.names = sortedKeys(l.places)
	return l
}

// candidatesByRegion lists the routers that may hold cells. Leaving routers do
// only while their region has no other.
func candidatesByRegion(routers []Router, left string) map[string][]string {
	staying := map[string][]string{}
	live := map[string][]string{}
	for _, r := range routers {
		live[r.Region] = append(live[r.Region], r.Host)
		if !r.Leaving && r.Host != left {
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
// without upstreams has one cell, which lends all its tickets.
func (l *layout) addGroup(g group, upstreams []objectapi.Host, maxUpstreams int, routers []string) {
	count := max(1, (len(upstreams)+maxUpstreams-1)/maxUpstreams)
	cells := make([]*place, count)
	for i := range cells {
		p := &place{name: cellName(g, i), service: g.service, region: g.region}
		p.rank = rendezvous(p.name, routers)
		cells[i] = p
		l.places[p.name] = p
	}
	l.byGroup[g] = cells
	for _, u := range upstreams {
		p := pickCell(cells, u.ID, maxUpstreams)
		p.upstreams = append(p.upstreams, u)
		l.cellOf[u.ID] = p.name
	}
}

// pickCell returns the best ranked cell for key that has room. Ranking moves few
// upstreams when the number of cells changes.
func pickCell(cells []*place, key string, maxUpstreams int) *place {
	var best *place
	var bestScore uint64
	for _, p := range cells {
		score := score(key, p.name)
		if len(p.upstreams) < maxUpstreams && (best == nil || score > bestScore) {
			best, bestScore = p, score
		}
	}
	return best
}

// home returns the cell that a request of the region goes to, "" if the service
// is unknown. The choice depends on the id only, so that it is stable.
func (l *layout) home(service, region, id string) string {
	cells := l.byGroup[group{service, region}]
	if len(cells) == 0 {
		return ""
	}
	best := cells[0]
	bestScore := score(id, best.name)
	for _, p := range cells[1:] {
		if s := score(id, p.name); s > bestScore {
			best, bestScore = p, s
		}
	}
	return best.name
}

// siblings lists the other cells of the service.
func (l *layout) siblings(name string) []*place {
	p := l.places[name]
	if p == nil {
		return nil
	}
	var found []*place
	for _, region := range l.regions {
		for _, other := range l.byGroup[group{p.service, region}] {
			if other != p {
				found = append(found, other)
			}
		}
	}
	return found
}

// routersOf lists the live routers of a region in order.
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

// served tells whether any cell of the service takes new work.
func (l *layout) served(service string) bool {
	for _, region := range l.regions {
		for _, p := range l.byGroup[group{service, region}] {
			if p.takesWork() {
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

func (l *layout) live(host string) bool {
	_, ok := l.region[host]
	return ok
}

// rightful returns the router that the view assigns the cell to.
func (l *layout) rightful(name string) string {
	p := l.places[name]
	if p == nil || len(p.rank) == 0 {
		return ""
	}
	return p.rank[0]
}

func cellName(g group, index int) string {
	return fmt.Sprintf("%s/%s/%d", g.service, g.region, index)
}

// rendezvous ranks hosts for key by highest random weight.
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

func score(key, item string) uint64 {
	return xxhash.Sum64String(key + "\x00" + item)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
