package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// graph determines which routers exchange heartbeats. All nodes with the same view
// compute the same undirected graph: two neighbours of a host are adjacent to it
// on a hash ring of its region, one on average comes from a second ring of the
// region, and one is in another region. The diameter of such random graphs grows
// with the logarithm of the number of hosts.
type graph struct {
	vertices []*vertex // sorted by host
}

// vertex is a host with its position on each ring.
type vertex struct {
	host, region string
	// first and second are the positions on the two rings of the region, cross
	// is the position in the order in which hosts are paired across regions.
	first, second, cross uint64
	// hasSecond is set for about half of the hosts, which connect to the next
	// host on the second ring. That adds one neighbour per host on average, and
	// a change of one member only changes edges next to it on the rings.
	hasSecond bool
	adjacent  []*vertex
}

func hashOf(salt, host string) uint64 { return xxhash.Sum64String(salt + "\x00" + host) }

func newVertex(host, region string) *vertex {
	return &vertex{
		host: host, region: region,
		first:     hashOf("first", host),
		second:    hashOf("second", host),
		cross:     hashOf("cross", host),
		hasSecond: hashOf("has second", host)%2 == 0,
	}
}

// newGraph connects the vertices, which must be sorted by host.
func newGraph(vertices []*vertex) *graph {
	regions := map[string][]*vertex{}
	for _, v := range vertices {
		v.adjacent = v.adjacent[:0]
		regions[v.region] = append(regions[v.region], v)
	}
	for _, members := range regions {
		connectRegion(members)
	}
	order := slices.Clone(vertices)
	sortRing(order, func(v *vertex) uint64 { return v.cross })
	connectRegions(order)
	return &graph{vertices}
}

func sortRing(vertices []*vertex, position func(*vertex) uint64) {
	slices.SortFunc(vertices, func(a, b *vertex) int {
		return cmp.Or(cmp.Compare(position(a), position(b)), cmp.Compare(a.host, b.host))
	})
}

func (v *vertex) connect(other *vertex) {
	if v != other && !slices.Contains(v.adjacent, other) {
		v.adjacent = append(v.adjacent, other)
		other.adjacent = append(other.adjacent, v)
	}
}

// connectRegion connects the hosts of one region along both of its rings.
func connectRegion(vertices []*vertex) {
	sortRing(vertices, func(v *vertex) uint64 { return v.first })
	for i, v := range vertices {
		v.connect(vertices[(i+1)%len(vertices)])
	}
	sortRing(vertices, func(v *vertex) uint64 { return v.second })
	for i, v := range vertices {
		if v.hasSecond {
			v.connect(vertices[(i+1)%len(vertices)])
		}
	}
}

// connectRegions pairs hosts of different regions: each host in order is paired
// with the latest unpaired host if that is of another region, like matching
// brackets. Hosts that remain unpaired, because their region is larger, share
// partners with others.
func connectRegions(order []*vertex) {
	var unpaired []*vertex
	for _, v := range order {
		if n := len(unpaired); n > 0 && unpaired[n-1].region != v.region {
			v.connect(unpaired[n-1])
			unpaired = unpaired[:n-1]
			continue
		}
		unpaired = append(unpaired, v)
	}
	connectUnpaired(order, unpaired)
}

// connectUnpaired distributes hosts without a partner evenly over the hosts of
// other regions. All unpaired hosts are of one region, or they would have been
// paired.
func connectUnpaired(order, unpaired []*vertex) {
	if len(unpaired) == 0 {
		return
	}
	var others []*vertex
	for _, v := range order {
		if v.region != unpaired[0].region {
			others = append(others, v)
		}
	}
	for i, v := range unpaired {
		if len(others) > 0 {
			v.connect(others[i*len(others)/len(unpaired)])
		}
	}
}

// neighbours returns the neighbours of host, sorted, or nil if it is unknown.
func (g *graph) neighbours(host string) []string {
	i, found := slices.BinarySearchFunc(g.vertices, host, func(v *vertex, host string) int {
		return cmp.Compare(v.host, host)
	})
	if !found {
		return nil
	}
	hosts := make([]string, 0, len(g.vertices[i].adjacent))
	for _, other := range g.vertices[i].adjacent {
		hosts = append(hosts, other.host)
	}
	slices.Sort(hosts)
	return hosts
}
