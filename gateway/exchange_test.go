package gateway

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// largeRoster returns a roster of 3,000 upstreams, the first of which are leaving.
func largeRoster(leaving int) *versioned.Roster {
	upstreams := make([]catalog.Upstream, 3000)
	for i := range upstreams {
		upstreams[i] = catalog.Upstream{ID: fmt.Sprintf("i-%08x", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 16, Draining: i < leaving}
	}
	return versioned.NewRoster(upstreams)
}

// A router that is a few versions behind must not fetch the whole roster: with 3,000
// upstreams it has 200 KB, and 300 routers fetched it at each change.
func TestFetchOfUpstreamsCarriesChangesOnly(t *testing.T) {
	x := &exchange{}
	for version := int64(1); version <= 5; version++ {
		x.history.Record(largeRoster(int(version)), version)
	}
	for _, test := range []struct {
		since    int64
		maxBytes int
	}{{0, 70_000}, {2, 500}, {5, 50}, {99, 70_000}} {
		encoded, _, err := x.upstreamsResponse(test.since)
		require.NoError(t, err)
		assert.LessOrEqual(t, len(encoded), test.maxBytes, "since %d", test.since)
		var response upstreamsResponse
		require.NoError(t, cbor.Unmarshal(encoded, &response))
		assert.Equal(t, int64(5), response.Version)
		if response.Change == nil {
			encoded, err := decompress(response.Whole)
			require.NoError(t, err)
			var all []catalog.Upstream
			require.NoError(t, cbor.Unmarshal(encoded, &all))
			assert.Equal(t, largeRoster(5).All(), all, "since %d", test.since)
			continue
		}
		applied, err := largeRoster(int(test.since)).Apply(*response.Change)
		require.NoError(t, err)
		assert.Equal(t, largeRoster(5).All(), applied.All())
	}
}

// A router must not be made to use up its memory by another one's response.
func TestDecompressedSizeIsBounded(t *testing.T) {
	var c compressed
	data, err := c.get(1, func() ([]byte, error) { return make([]byte, 2*maxDecompressed), nil })
	require.NoError(t, err)
	_, err = decompress(data)
	assert.ErrorIs(t, err, fleet.ErrMessage)
	_, err = decompress([]byte("not compressed"))
	assert.ErrorIs(t, err, fleet.ErrMessage)
}
