package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// deadlyPart crashes each engine that begins to write an answer to a prompt with it.
const deadlyPart = "dead"

func promptWith(parts string) request {
	q := streamRequest(site.StreamPath)
	q.prompt = fmt.Sprintf("aa:100,%s,%s:50", parts, q.id)
	return q
}

// crashTimes returns when engines have crashed, in order.
func (s *testSite) crashTimes() []time.Time {
	var crashes []time.Time
	for _, e := range s.engines {
		crashes = append(crashes, e.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// deadlyArrivals returns how many requests with the deadly part have reached engines
// after a time.
func (s *testSite) deadlyArrivals(after time.Time) int {
	count := 0
	for _, e := range s.engines {
		for _, a := range e.Arrivals() {
			if a.At.After(after) && site.HasPart(a.Prompt, deadlyPart) {
				count++
			}
		}
	}
	return count
}

// Requests that share a part which crashes engines must not reach engine after engine.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	s := newSite(t, 6, 0)
	routers := []*testRouter{s.start(true), s.start(true), s.start(true)}
	time.Sleep(600 * time.Millisecond) // until the routers know each other
	for _, e := range s.engines {
		e.SetDeadlyPart(deadlyPart)
	}
	var deadly []answer
	var sound [2]int // requests after the fifth crash: asked, served
	for i, begin := 0, time.Now(); time.Since(begin) < 9*time.Second; i++ {
		r := routers[i%len(routers)]
		got := r.ask(promptWith("subject:50," + deadlyPart + ":100"))
		deadly = append(deadly, got)
		beside := r.ask(promptWith("subject:50"))
		if crashes := s.crashTimes(); len(crashes) > 4 && time.Since(crashes[4]) > 3*time.Second || i > 60 {
			sound[0]++
			if beside.status == http.StatusOK && beside.err == nil {
				sound[1]++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	crashes := s.crashTimes()
	require.GreaterOrEqual(t, len(crashes), 2)
	t.Log(len(crashes), "crashes")
	fifth := crashes[min(4, len(crashes)-1)]
	assert.LessOrEqual(t, s.deadlyArrivals(fifth.Add(3*time.Second)), 3, "requests with the part that reach engines later than 3 s after the fifth crash")
	require.Positive(t, sound[0])
	assert.GreaterOrEqual(t, float64(sound[1]), 0.95*float64(sound[0]), "requests served that share the other parts")
	last := deadly[len(deadly)-1]
	assert.Equal(t, http.StatusServiceUnavailable, last.status)
	assert.Empty(t, last.header.Get("Retry-After"), "nobody knows when the part will be sound")
}

// Parts that are barred must stay barred when all routers end at once and start again
// without any memory.
func TestBarredPartsOutlastAllRouters(t *testing.T) {
	s := newSite(t, 6, 0)
	for _, e := range s.engines {
		e.SetDeadlyPart(deadlyPart)
	}
	r := s.start(true)
	barred := func() bool {
		got := r.ask(promptWith("subject:50," + deadlyPart + ":100"))
		return got.err == nil && got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "crashes")
	}
	require.Eventually(t, barred, 20*time.Second, 50*time.Millisecond, "the part is barred")
	require.Eventually(t, func() bool { return len(s.store.Names("quarantine")) == 1 }, 3*time.Second, 20*time.Millisecond)
	r.stop()
	require.NoError(t, <-r.exited)
	r.exited <- nil

	r = s.start(true)
	crashed := time.Now()
	time.Sleep(500 * time.Millisecond) // until the store has been read
	for range 10 {
		assert.True(t, barred())
	}
	assert.Zero(t, s.deadlyArrivals(crashed))
	got := r.ask(promptWith("other:50"))
	assert.Equal(t, http.StatusOK, got.status, got.body)
}
