package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func objectRead(version int64, sent time.Duration) ObjectRead {
	return ObjectRead{Version: version, Data: sample().Encode(), Started: at(sent)}
}

// TestReplicaNeverGoesBack checks that a stale read, a stale peer or invalid lists do
// not replace the version in force.
func TestReplicaNeverGoesBack(t *testing.T) {
	r := NewReplica("r1", "east")
	require.True(t, r.Step(at(0), objectRead(5, 0)).Changed)
	require.False(t, r.Step(at(time.Second), objectRead(4, time.Second)).Changed)
	require.Equal(t, time.Second, r.ConfirmedAge(at(time.Second)), "a stale read must not confirm the version")
	out := r.Step(at(time.Second), ObjectRead{Version: 6, Data: []byte("{")})
	require.ErrorIs(t, out.Invalid, ErrInvalid)
	r.Step(at(time.Second), PeerFetched{Host: "r2", Version: 3, Data: sample().Encode()})
	_, version := r.Current()
	require.EqualValues(t, 5, version)
}

// TestReplicaStartup checks that a router that has just started serves only after it
// knows the current lists, and that it gets them from its peers if the platform is
// down.
func TestReplicaStartup(t *testing.T) {
	r := NewReplica("r1", "east")
	require.True(t, r.Step(at(0), Routers{}).Watch)
	require.False(t, r.MayServe(at(0), 3, 3))
	r.Step(at(0), ObjectReadFailed{})
	require.Equal(t, "r2", r.Step(at(0), PeerReport{Host: "r2", Version: 7, ConfirmedAge: -1}).FetchFrom)
	r.Step(at(10*time.Millisecond), PeerFetched{Host: "r2", Version: 7, Data: sample().Encode()})
	require.False(t, r.MayServe(at(20*time.Millisecond), 3, 3), "another peer may have a higher version")
	require.Equal(t, "r3", r.Step(at(900*time.Millisecond), PeerReport{Host: "r3", Version: 8, ConfirmedAge: -1}).FetchFrom)
	r.Step(at(1100*time.Millisecond), ReplicaTick{})
	require.False(t, r.MayServe(at(1100*time.Millisecond), 3, 3), "a higher version is known")
	r.Step(at(1200*time.Millisecond), PeerFetched{Host: "r3", Version: 8, Data: sample().Encode()})
	require.True(t, r.MayServe(at(1200*time.Millisecond), 3, 3))
	require.False(t, r.MayServe(at(1200*time.Millisecond), 1, 3), "version is not confirmed and the router reaches no others")

	empty := NewReplica("r1", "east")
	empty.Step(at(0), ObjectRead{})
	require.True(t, empty.MayServe(at(0), 1, 1), "the platform has no lists yet")
}

// TestReplicaMayServe checks that a router stops serving if its version is unconfirmed
// and it is cut off from most routers, but continues during a platform outage.
func TestReplicaMayServe(t *testing.T) {
	r := NewReplica("r1", "east")
	r.Step(at(0), objectRead(5, 0))
	require.True(t, r.MayServe(at(2*time.Second), 1, 9), "confirmed 2 s ago")
	require.False(t, r.MayServe(at(2001*time.Millisecond), 4, 8))
	require.True(t, r.MayServe(at(2001*time.Millisecond), 5, 8))
	r.Step(at(3*time.Second), PeerReport{Host: "r2", Version: 5, ConfirmedAge: 500 * time.Millisecond})
	require.Equal(t, 500*time.Millisecond, r.ConfirmedAge(at(3*time.Second)))
	require.True(t, r.MayServe(at(3*time.Second), 1, 9))
	r.Step(at(6*time.Second), PeerReport{Host: "r2", Version: 5, ConfirmedAge: -1, Highest: 6})
	require.False(t, r.MayServe(at(6*time.Second), 9, 9), "a higher version exists")
}

// TestReplicaFetchesFromAnotherPeer checks that another peer is tried if a fetch fails,
// times out or returns invalid lists.
func TestReplicaFetchesFromAnotherPeer(t *testing.T) {
	r := NewReplica("r1", "east")
	require.Equal(t, "r2", r.Step(at(0), PeerReport{Host: "r2", Version: 7}).FetchFrom)
	require.Empty(t, r.Step(at(0), PeerReport{Host: "r3", Version: 7}).FetchFrom, "only one fetch at a time")
	require.Equal(t, "r3", r.Step(at(0), PeerFetchFailed{Host: "r2"}).FetchFrom)
	require.Equal(t, "r2", r.Step(at(time.Second), ReplicaTick{}).FetchFrom, "r3 did not answer")
	out := r.Step(at(1100*time.Millisecond), PeerFetched{Host: "r2", Version: 7, Data: []byte("x")})
	require.Error(t, out.Invalid)
	require.Equal(t, "r3", r.Step(at(2*time.Second), ReplicaTick{}).FetchFrom)
	require.True(t, r.Step(at(2*time.Second), PeerFetched{Host: "r3", Version: 7, Data: sample().Encode()}).Changed)
	version, data := r.Data()
	require.EqualValues(t, 7, version)
	require.Equal(t, sample().Encode(), data)
}

// TestReplicaWatchers checks that each region has watchersPerRegion watchers, or fewer
// if it has fewer routers.
func TestReplicaWatchers(t *testing.T) {
	live := []Router{{"a", "east"}, {"b", "east"}, {"c", "east"}, {"d", "west"}}
	watchers := map[string]int{}
	for _, router := range live {
		r := NewReplica(router.Host, router.Region)
		r.Step(at(0), objectRead(1, 0))
		if r.Step(at(0), Routers{live}).Watch {
			watchers[router.Region]++
		}
	}
	require.Equal(t, map[string]int{"east": 2, "west": 1}, watchers)
}
