package gateway

import (
	"time"

	"github.com/lacewingshift/lacewingshift/fleet"
)

const (
	// lookupLifetime is how long callers may keep an answer. Some keep it three
	// times as long, so a stopping router is forgotten after three seconds.
	lookupLifetime = time.Second
	// enoughRouters is the number of near routers from which no farther ones are
	// named: one may fail while an answer is kept.
	enoughRouters = 2
	// maxAddresses is how many addresses callers read.
	maxAddresses = 64
)

// smallHost is the part of the largest host's cores below which a host is not named
// while there are enough larger ones. The callers of a workspace may all use one
// router, whatever else they are told of, so no router should be much weaker than
// the largest.
const smallHost = 0.5

// nearest returns the addresses of the routers nearest to a caller.
func nearest(ready []fleet.Record, region, dataCentre string) []string {
	var inDataCentre, inRegion []fleet.Record
	for _, r := range ready {
		if r.Region == region {
			inRegion = append(inRegion, r)
		}
		if r.DataCentre == dataCentre {
			inDataCentre = append(inDataCentre, r)
		}
	}
	for _, near := range [][]fleet.Record{inDataCentre, inRegion, ready} {
		if len(near) >= enoughRouters {
			return addresses(largest(near))
		}
	}
	return addresses(ready)
}

// largest leaves out small hosts if enough others remain.
func largest(routers []fleet.Record) []fleet.Record {
	most := 0.0
	for _, r := range routers {
		most = max(most, r.Cores)
	}
	var large []fleet.Record
	for _, r := range routers {
		if r.Cores >= smallHost*most {
			large = append(large, r)
		}
	}
	if len(large) < enoughRouters {
		return routers
	}
	return large
}

func addresses(routers []fleet.Record) []string {
	var list []string
	for _, r := range routers[:min(len(routers), maxAddresses)] {
		list = append(list, r.CallerAddress)
	}
	return list
}
