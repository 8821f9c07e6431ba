package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fleet"
)

func at(address, dataCentre, region string) fleet.Record {
	return fleet.Record{CallerAddress: address, DataCentre: dataCentre, Region: region}
}

// Callers get only near routers if there are at least two, so that one may fail.
func TestNearestRouters(t *testing.T) {
	ready := []fleet.Record{at("1", "a", "r"), at("2", "a", "r"), at("3", "b", "r"), at("4", "c", "s")}
	assert.Equal(t, []string{"1", "2"}, nearest(ready, "r", "a"))
	assert.Equal(t, []string{"1", "2", "3"}, nearest(ready, "r", "b"))
	assert.Equal(t, []string{"1", "2", "3", "4"}, nearest(ready, "s", "c"))
	assert.Equal(t, []string{"1", "2", "3", "4"}, nearest(ready, "", ""))
	assert.Empty(t, nearest(nil, "r", "a"))
}
