package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/platform"
)

func at(address, dataCentre, region string) fleet.Record {
	return fleet.Record{CallerAddress: address, DataCentre: dataCentre, Region: region}
}

// query is a lookup by a caller in a region and a data centre.
func query(region, dataCentre string) platform.LookupQuery {
	return platform.LookupQuery{Region: region, DataCentre: dataCentre}
}

// Callers get only near routers if there are at least two, so that one may fail.
func TestNearestRouters(t *testing.T) {
	var anywhere catalog.HostRegions
	ready := []fleet.Record{at("1", "a", "r"), at("2", "a", "r"), at("3", "b", "r"), at("4", "c", "s")}
	assert.Equal(t, []string{"1", "2"}, nearest(ready, query("r", "a"), anywhere))
	assert.Equal(t, []string{"3", "1", "2"}, nearest(ready, query("r", "b"), anywhere))
	assert.Equal(t, []string{"4", "1", "2", "3"}, nearest(ready, query("s", "c"), anywhere))
	assert.Equal(t, []string{"1", "2", "3", "4"}, nearest(ready, query("", ""), anywhere))
	assert.Empty(t, nearest(nil, query("r", "a"), anywhere))
}

// The only router of the caller's region was cut off the list in a large fleet whose
// routers of another region came first.
func TestRoutersOfTheCallersRegionAreNotCutOff(t *testing.T) {
	var ready []fleet.Record
	for i := range 2 * maxAddresses {
		ready = append(ready, at(fmt.Sprint(i), "a", "r"))
	}
	ready = append(ready, at("near", "b", "s"))
	got := nearest(ready, query("s", "b"), catalog.HostRegions{})
	assert.Len(t, got, maxAddresses)
	assert.Equal(t, "near", got[0])
}

// Callers of restricted routes must not be sent to routers in a region that is neither
// permitted nor their own, unless there is no other router.
func TestLookupOfRestrictedHost(t *testing.T) {
	in := func(common []string, others ...string) catalog.HostRegions {
		return catalog.HostRegions{Restricted: true, Common: common, Any: append(others, common...)}
	}
	r1, r2, s1, s2, u1 := at("r1", "a", "r"), at("r2", "a", "r"), at("s1", "b", "s"), at("s2", "b", "s"), at("u1", "c", "u")
	all := []fleet.Record{r1, r2, s1, s2, u1}
	for name, test := range map[string]struct {
		ready     []fleet.Record
		region    string
		permitted catalog.HostRegions
		want      []string
	}{
		"enough in the caller's region":           {all, "r", in([]string{"s"}), []string{"r1", "r2"}},
		"one in the caller's region":              {all, "u", in([]string{"s"}), []string{"u1", "s1", "s2"}},
		"the caller's region alone is permitted":  {all, "u", in([]string{"u"}), []string{"u1"}},
		"none in the caller's region":             {all, "v", in([]string{"s"}), []string{"s1", "s2"}},
		"the caller does not say where it is":     {all, "", in([]string{"s"}), []string{"s1", "s2"}},
		"routes that permit different regions":    {all, "v", in(nil, "s", "u"), []string{"s1", "s2", "u1"}},
		"a region that all routes permit":         {all, "v", in([]string{"r"}, "s", "u"), []string{"r1", "r2"}},
		"too few in the region common to all":     {all, "v", in([]string{"u"}, "s"), []string{"s1", "s2", "u1"}},
		"no router in any permitted region":       {all, "v", in([]string{"w"}), []string{"r1", "r2", "s1", "s2", "u1"}},
		"one router in the permitted region only": {[]fleet.Record{r1, r2, u1}, "v", in([]string{"u"}), []string{"u1"}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, nearest(test.ready, query(test.region, ""), test.permitted))
		})
	}
}
