package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/ticket"
)

func testDescription() deployment.Description {
	d := deployment.Description{
		Name: "test", Regions: []string{"a", "b"}, Engine: "model", Plain: "desk", WritePath: "/orders",
		Engines: []deployment.Upstream{{ID: "a1", Region: "a", Slots: 24}, {ID: "a2", Region: "a", Slots: 12}, {ID: "b1", Region: "b", Slots: 12}},
	}
	for i := range 10 {
		plan := []string{"large", "large", "standard", "standard", "small"}[i/2]
		d.Keys = append(d.Keys, deployment.Key{Workspace: fmt.Sprint("w", i), Plan: plan, Weight: 1, Share: 1, Region: "a"})
	}
	return d
}

// The workload must be the same for the same seed, follow the demand swing, and
// have comparable halves.
func TestGenerate(t *testing.T) {
	s := DefaultSettings()
	requests := Generate(s, testDescription())
	require.Equal(t, requests, Generate(s, testDescription()))
	kinds := map[Kind]int{}
	var firstHalf, crest, trough int
	for _, r := range requests {
		kinds[r.Kind]++
		if r.At < s.Duration/2 {
			firstHalf++
		}
		if r.Role != RoleNormal {
			continue
		}
		if phase := r.At % s.Period; phase < s.Period/2 {
			crest++
		} else {
			trough++
		}
	}
	require.Len(t, kinds, 5)
	require.InDelta(t, len(requests)/2, firstHalf, 2)
	require.Greater(t, crest, trough*3/2)

	s.NoLong = true
	for _, r := range Generate(s, testDescription()) {
		require.False(t, r.Role == RoleNormal && r.isLong())
	}
}

// A role whose load is zero must get no requests, and its arrival loop must end.
func TestGenerateWithoutLoad(t *testing.T) {
	s := DefaultSettings()
	s.NormalLoad, s.BacklogLoad, s.FloodLoad, s.SlowRunners = 0.15, 0, 0, 0
	requests := Generate(s, testDescription())
	require.NotEmpty(t, requests)
	for _, r := range requests {
		require.Equal(t, RoleNormal, r.Role)
	}
	s.NormalLoad = 0
	require.Empty(t, Generate(s, testDescription()))
}

// The generated engine work must match the load in the settings.
func TestOfferedLoad(t *testing.T) {
	s := DefaultSettings()
	s.SlowRunners = 0
	s.Duration = 20 * time.Minute
	s.MaxRequests = 1 << 30
	work := map[Role]time.Duration{}
	for _, r := range Generate(s, testDescription()) {
		if !r.IsPlain() {
			work[r.Role] += r.runTime()
		}
	}
	capacity := s.Duration.Seconds() * 48
	require.InEpsilon(t, s.NormalLoad, work[RoleNormal].Seconds()/capacity, 0.1)
	require.InEpsilon(t, s.BacklogLoad, work[RoleBacklogged].Seconds()/capacity, 0.1)
	require.InEpsilon(t, s.FloodLoad, work[RoleFlooding].Seconds()/capacity, 0.1)
}

// The gap must ignore service received while one of the two workspaces had
// nothing waiting, and include a difference that shrinks again later.
func TestFairnessGap(t *testing.T) {
	keys := []deployment.Key{{Weight: 1}, {Weight: 2}}
	serve := func(at, w int, units ticket.Units) workspaceEvent {
		return workspaceEvent{at: time.Duration(at) * time.Nanosecond, workspace: w, service: units}
	}
	wait := func(at, w, change int) workspaceEvent {
		return workspaceEvent{at: time.Duration(at) * time.Nanosecond, workspace: w, waiting: change}
	}
	all := []workspaceEvent{
		wait(0, 0, +1), serve(1, 0, 1000),
		wait(2, 1, +1), serve(3, 0, 30), serve(4, 1, 100), serve(5, 1, 100), serve(6, 0, 70),
		wait(7, 1, -1), serve(8, 0, 5000),
	}
	require.Equal(t, 100.0, fairnessGap(all, keys))
	require.Equal(t, 6300.0, totalService(all))
	require.EqualValues(t, 3, longestStarved(append(all, wait(8, 0, -1), wait(9, 1, +1)), 2, 12), "time without waiting work must not count")
	require.InDelta(t, (8+5)/16.0, backloggedFraction(all, 2, 8), 0.01)
}

// A wrong "not run" must be detected even if another attempt may have run, and
// must not be reported when another attempt explains the run.
func TestFalseNotRun(t *testing.T) {
	refused, lost := Attempt{NotRun: true}, Attempt{}
	require.Equal(t, 1, falseNotRun(Outcome{Attempts: []Attempt{refused}}, 1))
	require.Equal(t, 1, falseNotRun(Outcome{Attempts: []Attempt{refused, lost}}, 2))
	require.Zero(t, falseNotRun(Outcome{Attempts: []Attempt{lost, refused}}, 1))
	require.Zero(t, falseNotRun(Outcome{Attempts: []Attempt{refused, lost}}, 1))
}

// A response with a missing, repeated or wrong token must not count as complete.
func TestProgressChecksBytes(t *testing.T) {
	r := Request{Seed: 5, Length: 3}
	event := func(i int, seed uint64) string {
		return fmt.Sprintf("id: %d\ndata: {\"token\":%q}\n\n", i+1, fake.Token(seed, i))
	}
	end := "data: {\"usage\":{\"generated_tokens\":3}}\n\ndata: [DONE]\n\n"
	for text, complete := range map[string]bool{
		event(0, 5) + event(1, 5) + event(2, 5) + end:               true,
		event(0, 5) + event(1, 5) + event(2, 5):                     false,
		event(0, 5) + event(2, 5) + end:                             false,
		event(0, 5) + event(0, 5) + event(1, 5) + event(2, 5) + end: false,
		event(0, 5) + event(1, 6) + event(2, 5) + end:               false,
	} {
		p := newProgress(r)
		p.read(strings.NewReader(text), func() time.Duration { return 1 }, func() {})
		require.Equal(t, complete, p.isComplete(), text)
	}
}

// router is a minimal router in front of one engine and one plain service.
type router struct {
	mux    *http.ServeMux
	engine *fake.Engine
	plain  *fake.Plain
	refuse atomic.Int32 // number of requests to refuse as not run
}

func newRouter() *router {
	r := &router{mux: http.NewServeMux(), engine: fake.NewEngine(fake.EngineSettings{}), plain: fake.NewPlain(fake.PlainSettings{})}
	r.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, q *http.Request) {
		if r.refuse.Add(-1) >= 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"error":{"code":"overloaded","not_run":true}}`)
			return
		}
		var body map[string]any
		_ = json.NewDecoder(q.Body).Decode(&body)
		body["request_id"] = q.Header.Get("Lacewing-Request-Id") + ".1"
		data, _ := json.Marshal(body)
		w.Header().Set("Lacewing-Resume", "token")
		w.Header().Set("Lacewing-Waited-Ms", "0")
		r.forward(w, q, r.engine, "POST", "/v1/completions", string(data))
	})
	r.mux.HandleFunc("GET /v1/requests/{id}/events", func(w http.ResponseWriter, q *http.Request) {
		r.forward(w, q, r.engine, "GET", "/v1/streams/"+q.PathValue("id")+".1?after="+q.Header.Get("Last-Event-ID"), "")
	})
	r.mux.HandleFunc("/v1/services/desk/{path...}", func(w http.ResponseWriter, q *http.Request) {
		r.forward(w, q, r.plain, q.Method, "/"+q.PathValue("path"), "{}")
	})
	return r
}

func (r *router) forward(w http.ResponseWriter, q *http.Request, to http.Handler, method, path, body string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(q.Context())
	request.Header = q.Header
	to.ServeHTTP(w, request)
}

// RoundTrip serves the request in-process, so that tests can use a fake clock. An
// aborted handler truncates the body.
func (r *router) RoundTrip(q *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }()
		r.mux.ServeHTTP(recorder, q)
	}()
	return recorder.Result(), nil
}

func newTestCaller(r *router) *caller {
	client := &http.Client{Transport: r}
	return &caller{
		client:      client,
		entries:     &entries{client: client, addresses: []string{"r1", "r2"}, expires: time.Now().Add(time.Hour)},
		description: testDescription(),
		runName:     "run-1",
		start:       time.Now(),
	}
}

// A caller must resume a broken response and retry a request that did not run,
// but must not retry one that may have run.
func TestCallerResumesAndRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter()
		c := newTestCaller(r)
		question := Request{Index: 1, Kind: KindQuestion, Seed: 9, Length: 10, MaxTokens: 20, Deadline: time.Minute}
		r.engine.SetFaults(fake.Faults{DropAfterTokens: 4})
		r.refuse.Store(1)
		o := c.do(context.Background(), question)
		require.Equal(t, StatusComplete, o.Status)
		require.Equal(t, 1, o.Resumes)
		require.Len(t, o.Attempts, 2)
		require.True(t, o.Attempts[0].NotRun)
		require.Equal(t, map[string]fake.RunRecord{"run-1-000001-2.1": {Runs: 1, Tokens: 10}}, r.engine.Status().Ledger)

		r.engine.SetFaults(fake.Faults{Refuse: true})
		question.Index = 2
		require.Equal(t, StatusFailed, c.do(context.Background(), question).Status)

		commit := Request{Index: 3, Kind: KindCommit, Deadline: time.Minute}
		require.Equal(t, StatusComplete, c.do(context.Background(), commit).Status)
		commit.Index = 4
		require.Equal(t, StatusComplete, c.do(context.Background(), commit).Status)
		require.Equal(t, map[string]int{"run-1-000003": 1, "run-1-000004": 1}, r.plain.Status().Ledger)
		time.Sleep(time.Minute) // the streams of the engine must expire before the test ends
	})
}

// A router restart, which resets its counters to zero, must not lead to a
// negative rate.
func TestMeanRatePerNode(t *testing.T) {
	before := map[string]float64{"a": 100, "b": 900, "gone": 5}
	require.Equal(t, 30.0, *meanRatePerNode(before, map[string]float64{"a": 400, "b": 300}, 10))
	require.Nil(t, meanRatePerNode(before, nil, 10))
}

// The summary must keep groups apart, leave out missing measures instead of
// counting them as zero, and show violated guarantees.
func TestSummaryAndReport(t *testing.T) {
	ratio := 1.2
	var out strings.Builder
	for seed, result := range []Result{
		{OK: true, Deployment: "solas", Utilisation: 0.9, SlowedP99Ratio: &ratio},
		{OK: false, Deployment: "solas", Utilisation: 0.7},
		{OK: true, Deployment: "solas", Utilisation: 0.8},
		{OK: true, Deployment: "solas", Label: "fifo", Utilisation: 0.1},
	} {
		result.Seed = uint64(seed)
		require.NoError(t, result.Print(&out))
	}
	results, err := ReadResults(strings.NewReader(out.String()))
	require.NoError(t, err)
	groups := Summarize(results)
	require.Len(t, groups, 2)
	require.Equal(t, 1, groups[0].Broken)
	byName := map[string]Spread{}
	for _, m := range groups[0].Measures {
		byName[m.Name] = m
	}
	require.Equal(t, Spread{Name: "utilisation", Runs: 3, Min: 0.7, Median: 0.8, Max: 0.9}, byName["utilisation"])
	require.Equal(t, 1, byName["p99 with slowed runners / without"].Runs)
	require.NotContains(t, byName, "control traffic")

	var page strings.Builder
	require.NoError(t, WriteReport(&page, groups))
	require.Equal(t, 1, strings.Count(page.String(), ">broken<"))
	_, err = ReadResults(strings.NewReader("no result\n"))
	require.ErrorIs(t, err, ErrNoResult)
}
