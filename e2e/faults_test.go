package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/load"
)

// streamReader reads a stream over several connections and checks that no event is
// missing or repeated.
type streamReader struct {
	t    *testing.T
	last string // id of the last event
	next int    // number of the next token, from 1
	text strings.Builder
	done bool
}

func newStreamReader(t *testing.T) *streamReader { return &streamReader{t: t, next: 1} }

// read reads until the stream or the connection ends, or stop returns true.
func (r *streamReader) read(body io.Reader, stop func(event int) bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.last = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.done = true
			return
		}
		var chunk fake.Chunk
		require.NoError(r.t, json.Unmarshal([]byte(data), &chunk))
		if chunk.Token == "" {
			continue
		}
		require.Equal(r.t, r.next, chunk.Index+1)
		r.next++
		r.text.WriteString(chunk.Token)
		if stop(chunk.Index + 1) {
			return
		}
	}
}

func neverStop(int) bool { return false }

// TestStreamSurvivesKilledRouter checks that a caller can continue a stream at another
// router after the router that started it is killed, without missing or repeated tokens
// (P3).
func TestStreamSurvivesKilledRouter(t *testing.T) {
	f := startFleet(t)
	first := f.router("upstate-r1")
	header := map[string]string{"Lacewing-Request-Id": "e2e-stream-1"}
	answer, err := f.request("POST", first.Caller, "/v1/completions", f.completion(120, true), header)
	require.NoError(t, err)
	defer answer.Body.Close()
	r := newStreamReader(t)
	r.read(answer.Body, func(event int) bool { return event == 20 })
	f.kill("upstate-r1")
	header["Lacewing-Resume"] = answer.Header.Get("Lacewing-Resume")
	header["Last-Event-ID"] = r.last
	second, err := f.request("GET", f.router("lowcountry-r2").Caller, "/v1/requests/e2e-stream-1/events", "", header)
	require.NoError(t, err)
	defer second.Body.Close()
	r.read(second.Body, neverStop)
	require.True(t, r.done)
	require.Equal(t, fake.CompletionText(11, 120), r.text.String())
}

// TestLeavingRouterFinishesItsRequests checks that a router that shuts down completes
// its requests in progress, and that other routers stop listing it in /v1/entries (P7).
func TestLeavingRouterFinishesItsRequests(t *testing.T) {
	f := startFleet(t)
	leaving := f.router("upstate-r2")
	answer, err := f.request("POST", leaving.Caller, "/v1/completions", f.completion(600, true), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	r := newStreamReader(t)
	r.read(answer.Body, func(event int) bool { return event == 5 })
	f.signal("upstate-r2", syscall.SIGTERM)
	f.eventually("no router offers the leaving one", func() bool {
		return !slices.Contains(f.entries("upstate-r1"), "upstate-r2") &&
			!slices.Contains(f.entries("midlands-r1"), "upstate-r2")
	})
	r.read(answer.Body, neverStop)
	require.True(t, r.done)
	require.Equal(t, fake.CompletionText(11, 600), r.text.String())
	f.awaitExit("upstate-r2")
}

// TestObjectAPIOutage checks that, while the object API is down, calls with an
// idempotency key are refused as not run, completions work, and a restarted router gets
// the lists from its peers (P4, P5, P8).
func TestObjectAPIOutage(t *testing.T) {
	f := startFleet(t)
	caller := f.router("midlands-r1").Caller
	path := "/v1/services/" + f.deploy.Plain + f.deploy.WritePath
	keyed := map[string]string{"Idempotency-Key": "e2e-commit-1"}
	f.control(f.platformURL(9000), map[string]any{"outage": true}, nil)
	status, text := f.text("POST", caller, path, `{"plates":1}`, keyed)
	require.Equal(t, http.StatusServiceUnavailable, status, text)
	require.Contains(t, text, `"code":"records_unavailable"`)
	require.Contains(t, text, `"not_run":true`)
	status, text = f.text("POST", caller, "/v1/completions", f.completion(5, false), nil)
	require.Equal(t, http.StatusOK, status, text)
	f.kill("midlands-r1")
	f.startRouter("midlands-r1")
	f.awaitReady("midlands-r1")
	status, text = f.text("POST", caller, "/v1/completions", f.completion(5, false), nil)
	require.Equal(t, http.StatusOK, status, text)
	f.control(f.platformURL(9000), map[string]any{"outage": false}, nil)
	f.eventually("calls with an idempotency key are accepted again", func() bool {
		status, text = f.text("POST", caller, path, `{"plates":1}`, keyed)
		return status == http.StatusCreated
	})
	require.Equal(t, 1, f.runs("e2e-commit-1"))
}

// runs returns how often a call with the idempotency key ran on any plain service.
func (f *fleet) runs(key string) int {
	total := 0
	for _, p := range f.deploy.Plains {
		var status fake.PlainStatus
		f.control("http://"+p.Control, map[string]any{}, &status)
		total += status.Ledger[key]
	}
	return total
}

// TestLeavingUpstreamGetsNoNewWork checks that an upstream that is leaving gets no new
// requests after 3 s (P6).
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t)
	f.control(f.platformURL(9001), map[string]any{"leaving": []string{"midlands-e1", "midlands-e2"}}, nil)
	// P6 allows 3 s until no new requests are sent.
	time.Sleep(3 * time.Second)
	before := f.engineRuns("midlands-e1") + f.engineRuns("midlands-e2")
	for range 20 {
		status, text := f.text("POST", f.router("midlands-r1").Caller, "/v1/completions", f.completion(3, false), nil)
		require.Equal(t, http.StatusOK, status, text)
	}
	require.Equal(t, before, f.engineRuns("midlands-e1")+f.engineRuns("midlands-e2"))
}

// engineRuns returns the number of runs that an engine has had.
func (f *fleet) engineRuns(id string) int {
	for _, e := range f.deploy.Engines {
		if e.ID == id {
			var status fake.EngineStatus
			f.control("http://"+e.Control, map[string]any{}, &status)
			return len(status.Ledger)
		}
	}
	return -1
}

// workloadSettings returns a mixed workload that is small enough for slow machines.
func workloadSettings(seed uint64) load.Settings {
	s := load.DefaultSettings()
	s.Seed = seed
	s.Duration = 16 * time.Second
	s.Period = 8 * time.Second
	s.NormalLoad, s.BacklogLoad, s.FloodLoad = 0.25, 0.2, 0.2
	s.SlowRunners = 0
	return s
}

// runWorkload runs the default workload while disturb causes faults, and checks the
// promises about every request.
func (f *fleet) runWorkload(seed uint64, disturb func()) load.Result {
	return f.runWorkloadWith(workloadSettings(seed), disturb)
}

// runWorkloadWith is runWorkload with a workload of the given settings.
func (f *fleet) runWorkloadWith(settings load.Settings, disturb func()) load.Result {
	var wg sync.WaitGroup
	var result load.Result
	var err error
	wg.Go(func() { result, err = load.Run(context.Background(), settings, f.deploy) })
	time.Sleep(2 * time.Second)
	disturb()
	wg.Wait()
	require.NoError(f.t, err)
	require.Zero(f.t, result.DuplicateRuns, "a call with an idempotency key ran twice")
	require.Zero(f.t, result.FalseNotRun, "a call that ran was reported as not run")
	require.Zero(f.t, result.Wrong, "an answer differs from what the engine generated")
	require.NotZero(f.t, result.Complete)
	return result
}

// TestRouterFailuresUnderLoad guards against lost, duplicated or mixed-up requests while
// several routers are killed, frozen and restarted at once (P3, P4, P5).
func TestRouterFailuresUnderLoad(t *testing.T) {
	f := startFleet(t)
	result := f.runWorkload(3, func() {
		f.signal("upstate-r1", syscall.SIGSTOP)
		f.kill("lowcountry-r1")
		time.Sleep(3 * time.Second)
		f.startRouter("lowcountry-r1")
		f.signal("upstate-r1", syscall.SIGCONT)
		f.kill("midlands-r2")
		time.Sleep(2 * time.Second)
		f.startRouter("midlands-r2")
	})
	require.Zero(t, result.Incomplete, "an answer began but was not completed")
	f.awaitEntries(len(f.deploy.Routers))
}

// TestRollingReplacement checks that no request is lost while all routers are replaced one
// group after another (P7).
func TestRollingReplacement(t *testing.T) {
	f := startFleet(t)
	result := f.runWorkload(4, func() {
		for _, group := range routersByPosition(f.deploy.Routers) {
			for _, id := range group {
				f.signal(id, syscall.SIGTERM)
			}
			for _, id := range group {
				f.awaitExit(id)
				f.startRouter(id)
			}
			for _, id := range group {
				f.awaitReady(id)
			}
		}
	})
	require.Zero(t, result.Incomplete)
	require.Zero(t, result.Lost)
	require.Zero(t, result.Failed)
}

// routersByPosition groups the first routers of all regions, the second ones, and so on.
// A region with several routers then keeps some while one group is replaced.
func routersByPosition(routers []deployment.Router) [][]string {
	var groups [][]string
	position := map[string]int{}
	for _, r := range routers {
		i := position[r.Region]
		position[r.Region]++
		if i == len(groups) {
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r.ID)
	}
	return groups
}

// TestRegionIsCutOffAndReturns cuts a region off from the others. It guards against a region
// that serves with old lists meanwhile, runs a call with an idempotency key twice, or does
// not return to service (P5, P8).
func TestRegionIsCutOffAndReturns(t *testing.T) {
	f := startFleet(t)
	links := "http://" + f.deploy.Links
	cut := []map[string]any{}
	for _, other := range []string{"upstate", "lowcountry"} {
		cut = append(cut, map[string]any{"from": "midlands", "to": other, "both": true, "cut": true})
	}
	f.runWorkload(5, func() {
		f.control(links, map[string]any{"rules": cut}, nil)
		time.Sleep(6 * time.Second)
		f.control(links, map[string]any{"rules": []any{}}, nil)
	})
	f.awaitEntries(len(f.deploy.Routers))
	status, text := f.text("POST", f.router("midlands-r1").Caller, "/v1/completions", f.completion(5, false), nil)
	require.Equal(t, http.StatusOK, status, text)
}
