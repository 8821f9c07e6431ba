package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fleet"
)

func at(address, dataCentre, region string, cores float64) fleet.Record {
	return fleet.Record{CallerAddress: address, DataCentre: dataCentre, Region: region, Cores: cores}
}

// Callers are sent to near routers while there are two, so that one may fail.
func TestNearestRouters(t *testing.T) {
	ready := []fleet.Record{at("1", "a", "r", 1), at("2", "a", "r", 1), at("3", "b", "r", 1), at("4", "c", "s", 1)}
	assert.Equal(t, []string{"1", "2"}, nearest(ready, "r", "a"))
	assert.Equal(t, []string{"1", "2", "3"}, nearest(ready, "r", "b"))
	assert.Equal(t, []string{"1", "2", "3", "4"}, nearest(ready, "s", "c"))
	assert.Equal(t, []string{"1", "2", "3", "4"}, nearest(ready, "", ""))
	assert.Empty(t, nearest(nil, "r", "a"))
}

// All callers of a workspace used the same small host, which read their requests
// seconds late: the grown Piedmont trouble-1.
func TestSmallHostsAreNotNamedBesideLargeOnes(t *testing.T) {
	ready := []fleet.Record{at("1", "a", "r", 0.8), at("2", "a", "r", 0.2), at("3", "a", "r", 0.8)}
	assert.Equal(t, []string{"1", "3"}, nearest(ready, "r", "a"))
	assert.Equal(t, []string{"1", "2"}, nearest(ready[:2], "r", "a"), "a single large one may fail")
}
