package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// smallestMemory is the memory of the smallest hosts, in bytes, and softLimit what
	// lacewingd makes the limit of the garbage collector there.
	smallestMemory = 184 << 20
	softLimit      = smallestMemory * 7 / 10
)

// peakMemory returns the most memory that this process holds until done is closed.
func peakMemory(done <-chan struct{}) uint64 {
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.Sys-m.HeapReleased)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// whilePeaking returns the most memory that this process holds while work runs.
func whilePeaking(work func()) uint64 {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softLimit))
	debug.FreeOSMemory()
	done := make(chan struct{})
	peak := make(chan uint64)
	go func() { peak <- peakMemory(done) }()
	work()
	close(done)
	return <-peak
}

// Engines that begin large events on many streams at once filled the memory of a small
// host, which ends all other requests.
func TestManyLargeEventsFitIntoMemory(t *testing.T) {
	s := newSite(t, 0, 1)
	for i := range 4 {
		s.engines = append(s.engines, s.runner(100+i, &site.Runner{ID: fmt.Sprint("e-", i), Service: site.EngineService, Events: 6, Slots: 64}))
		s.engines[i].SetBehaviour(site.StalledEvent)
	}
	config := site.Config(2)
	service := config["services"].([]any)[0].(map[string]any)
	service["max_conns"] = 1000
	service["engine"] = map[string]any{"slots": 64, "kv_capacity": 1_000_000, "stride": 4}
	s.store.Put("config", "main", config)
	r := s.start(true)
	peak := whilePeaking(func() {
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				// A router on a busy machine refuses some requests; their callers come back.
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					q := streamRequest(site.StreamPath)
					q.prompt = fmt.Sprintf("aa:10,bb%d:10,cc%d:10", i, i)
					if r.ask(q).status != http.StatusServiceUnavailable {
						return
					}
				}
			})
		}
		group.Wait()
	})
	runs := 0
	for _, e := range s.engines {
		runs += len(e.Runs())
	}
	require.Greater(t, runs, 100, "requests reached the engines")
	t.Logf("peak %d MB in %d runs", peak>>20, runs)
	assert.Less(t, peak, uint64(smallestMemory))
	serves := func() bool { return r.ask(request{path: site.OrderPath + "1", id: newID()}).status == http.StatusOK }
	assert.Eventually(t, serves, 10*time.Second, 50*time.Millisecond, "others are served")
}

// Callers that announce large bodies and do not send them must not make a router hold
// memory for them.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	s := newSite(t, 0, 1)
	config := site.Config(2)
	config["limits"].(map[string]any)["max_body_bytes"] = 4 << 20
	s.store.Put("config", "main", config)
	r := s.start(true)
	peak := whilePeaking(func() {
		for range 200 {
			connection, err := net.Dial("tcp", r.CallerAddress())
			require.NoError(t, err)
			defer connection.Close()
			_, err = fmt.Fprintf(connection, "POST %s1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\na", site.OrderPath, site.Host, newID(), 4<<20)
			require.NoError(t, err)
		}
		serves := func() bool { return r.ask(request{path: site.OrderPath + "1", id: newID()}).status == http.StatusOK }
		require.Eventually(t, serves, 10*time.Second, 50*time.Millisecond, "others are served")
	})
	assert.Less(t, peak, uint64(smallestMemory))
}
