package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// newRegionSite returns a deployment whose routers are in region "here", with upstreams
// of each kind in data centres of both regions.
func newRegionSite(t *testing.T, here, there int) *testSite {
	s := newSite(t, 0, 0)
	s.zones, s.zone = map[string]string{"h": "here", "t": "there"}, "h"
	for i := range here + there {
		zone := "h"
		if i >= here {
			zone = "t"
		}
		s.engines = append(s.engines, s.runner(100+i, &site.Runner{
			ID: fmt.Sprint("e-", i), Service: site.EngineService, Zone: zone, Events: 6, WorkTime: 10 * time.Millisecond, EventInterval: 10 * time.Millisecond,
		}))
		s.plainRunners = append(s.plainRunners, s.runner(150+i, &site.Runner{
			ID: fmt.Sprint("p-", i), Service: site.PlainService, Zone: zone, WorkTime: 10 * time.Millisecond,
		}))
	}
	return s
}

// regionConfig returns a configuration whose routes and first workspace permit the given
// regions.
func regionConfig(version int64, ofRoutes, ofWorkspace []string) map[string]any {
	config := site.Config(version)
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["allowed_regions"] = ofRoutes
	}
	config["tenants"].([]any)[0].(map[string]any)["allowed_regions"] = ofWorkspace
	return config
}

// arrivalsIn returns how many requests have reached the upstreams of a data centre.
func (s *testSite) arrivalsIn(zone string) int {
	count := 0
	for _, r := range append(append([]*site.Runner{}, s.engines...), s.plainRunners...) {
		if r.Zone == zone {
			count += len(r.Arrivals())
		}
	}
	return count
}

// ofEachRoute returns a request of each route with the key of the first workspace.
func ofEachRoute() []request {
	plain := func(method, path string) request {
		return request{method: method, path: path + "1", id: newID(), key: site.Key}
	}
	return []request{
		streamRequest(site.StreamPath), streamRequest(site.NonResumablePath),
		plain(http.MethodPost, site.OrderPath), plain(http.MethodGet, site.StatusPath),
	}
}

// Requests that only a far region may serve were sent to near upstreams, whether the
// route, the workspace or both name the region.
func TestRestrictedRequestsStayInPermittedRegions(t *testing.T) {
	for name, test := range map[string]struct{ ofRoutes, ofWorkspace []string }{
		"route":     {[]string{"there"}, nil},
		"workspace": {nil, []string{"there"}},
		"both":      {[]string{"here", "there"}, []string{"there", "elsewhere"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRegionSite(t, 2, 2)
			s.store.Put("config", "main", regionConfig(2, test.ofRoutes, test.ofWorkspace))
			r := s.start(true)
			for range 3 {
				for _, q := range ofEachRoute() {
					got := r.ask(q)
					require.NoError(t, got.err)
					assert.Equal(t, http.StatusOK, got.status, got.body)
				}
			}
			assert.Zero(t, s.arrivalsIn("h"))
		})
	}
}

// Retries, and attempts at a successor that was reserved while an upstream was silent,
// must not leave the permitted region although other upstreams would answer.
func TestFurtherAttemptsStayInPermittedRegions(t *testing.T) {
	for name, b := range map[string]site.Behaviour{
		"refused": site.Shedding, "failed": site.Failing, "silent": site.Hanging,
		"stream breaks off": site.Truncating, "stream stalls": site.Dripping,
	} {
		t.Run(name, func(t *testing.T) {
			s := newRegionSite(t, 2, 2)
			s.store.Put("config", "main", regionConfig(2, []string{"there"}, nil))
			r := s.start(true)
			for _, u := range append(append([]*site.Runner{}, s.engines...), s.plainRunners...) {
				if u.Zone == "t" {
					u.SetBehaviour(b)
				}
			}
			var group sync.WaitGroup
			for _, q := range ofEachRoute() {
				q.deadline = 2600             // one retry of a silent upstream
				group.Go(func() { r.ask(q) }) // any answer is right, as no upstream serves
			}
			group.Wait()
			assert.NotZero(t, s.arrivalsIn("t"))
			assert.Zero(t, s.arrivalsIn("h"))
		})
	}
}

// A stream that breaks off continues at another upstream of the permitted region, which
// is not the region of the router.
func TestStreamContinuesInPermittedRegion(t *testing.T) {
	s := newRegionSite(t, 2, 2)
	s.store.Put("config", "main", regionConfig(2, nil, []string{"there"}))
	r := s.start(true)
	for _, broken := range s.engines[2:] {
		broken.SetBehaviour(site.Truncating)
		got := r.ask(streamRequest(site.StreamPath))
		broken.SetBehaviour(site.Healthy)
		require.NoError(t, got.err)
		assert.Equal(t, site.StreamBody(1, 6), got.body)
	}
	assert.Zero(t, s.arrivalsIn("h"))
}

// A permitted region without usable upstreams must lead to a refusal at once and not to
// another region, also after the last upstream there has left.
func TestLostRegionIsRefused(t *testing.T) {
	s := newRegionSite(t, 1, 1)
	s.store.Put("config", "main", regionConfig(2, []string{"there"}, nil))
	r := s.start(true)
	s.store.Delete("servers", s.engines[1].ID)
	s.store.Delete("servers", s.plainRunners[1].ID)
	refused := func() bool {
		for _, q := range ofEachRoute() {
			if got := r.ask(q); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "no upstream in a permitted region") {
				return false
			}
		}
		return true
	}
	require.Eventually(t, refused, 4*time.Second, 20*time.Millisecond)
	before := time.Now()
	got := r.ask(ofEachRoute()[0])
	assert.Less(t, time.Since(before), 500*time.Millisecond)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Zero(t, s.arrivalsIn("h"))
}

// A route and a workspace without a region in common, or with regions without a data
// centre, must be refused with a reason of their own, and the log must name both when the
// configuration is applied.
func TestNoPermittedRegionIsRefusedAndLogged(t *testing.T) {
	for name, test := range map[string]struct {
		ofRoutes, ofWorkspace []string
		line                  string
	}{
		"none in common": {[]string{"here"}, []string{"there"}, "route=order workspace=workspace-1"},
		"no data centre": {[]string{"nowhere"}, nil, `route=order workspace=""`},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRegionSite(t, 1, 1)
			logged := &lockedBuffer{}
			s.log = logged
			s.store.Put("config", "main", regionConfig(2, test.ofRoutes, test.ofWorkspace))
			r := s.start(true)
			assert.Contains(t, logged.String(), test.line)
			for _, q := range ofEachRoute() {
				got := r.ask(q)
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusServiceUnavailable, got.status)
				assert.Contains(t, got.body, "no data centre in a permitted region")
				assert.NotEmpty(t, got.header.Get("Retry-After"))
			}
			assert.Zero(t, s.arrivalsIn("h")+s.arrivalsIn("t"))
		})
	}
}

// A restriction must hold for the first request after the configuration that names it,
// in a deployment whose earlier configuration named none.
func TestRestrictionHoldsFromItsConfiguration(t *testing.T) {
	s := newRegionSite(t, 1, 1)
	r := s.start(true)
	require.Equal(t, http.StatusOK, r.ask(ofEachRoute()[2]).status)
	s.store.Put("config", "main", regionConfig(5, []string{"nowhere"}, nil))
	status := func() int { return r.ask(ofEachRoute()[2]).status }
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, 3*time.Second, time.Millisecond)
	near := s.arrivalsIn("h")
	s.store.Put("config", "main", regionConfig(6, []string{"there"}, nil))
	require.Eventually(t, func() bool { return status() == http.StatusOK }, 3*time.Second, time.Millisecond)
	assert.Equal(t, near, s.arrivalsIn("h"))
}

// The host that a lookup names decides whether routers of other regions are named.
func TestLookupReadsTheHost(t *testing.T) {
	s := newRegionSite(t, 1, 1)
	s.store.Put("config", "main", regionConfig(2, []string{"there"}, nil))
	first := s.start(true)
	s.zone = "t"
	second := s.start(true)
	named := func(host string) string {
		response, err := http.Get("http://" + first.LookupAddress() + "/v1/lookup?name=" + host + "&region=elsewhere&zone=e")
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return string(body)
	}
	require.Eventually(t, func() bool { return strings.Contains(named("other.example"), second.CallerAddress()) }, 3*time.Second, 20*time.Millisecond)
	assert.Contains(t, named("other.example"), first.CallerAddress())
	assert.Contains(t, named(site.Host), second.CallerAddress())
	assert.NotContains(t, named(site.Host), first.CallerAddress())
}

// lockedBuffer collects what several goroutines write.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
