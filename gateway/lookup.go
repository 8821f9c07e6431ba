package gateway

import (
	"time"

	"github.com/lacewingshift/lacewingshift/fleet"
)

const (
	// lookupTTL is how long callers may cache a lookup response. Some cache it
	// three times as long, so a stopping router is no longer used after three
	// seconds.
	lookupTTL = time.Second
	// enoughRouters is the number of near routers that suffices to leave out
	// farther ones: one of them may fail while the response is cached.
	enoughRouters = 2
	// maxAddresses is how many addresses callers read.
	maxAddresses = 64
)

// nearest returns the addresses of the routers nearest to a caller.
func nearest(ready []fleet.Record, region, dataCentre string) []string {
	var inDataCentre, inRegion, all []string
	for _, r := range ready {
		all = append(all, r.CallerAddress)
		if r.Region == region {
			inRegion = append(inRegion, r.CallerAddress)
		}
		if r.DataCentre == dataCentre {
			inDataCentre = append(inDataCentre, r.CallerAddress)
		}
	}
	for _, near := range [][]string{inDataCentre, inRegion, all} {
		if len(near) >= enoughRouters {
			return near[:min(len(near), maxAddresses)]
		}
	}
	return all
}
