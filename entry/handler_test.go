package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/fake"
)

func completionBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"What does ex libris mean?","max_tokens":%d,"length":%d,"seed":5,"stream":%t}`,
		engineName, tokens, tokens, stream)
}

// TestBadRequestsAreRefusedAsNotRun checks that invalid requests get the expected
// error code with not_run set and do not reach the scheduler.
func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	fx := newFixture(t)
	completion := completionBody(5, false)
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     Code
	}{
		{"wrong key", "POST", "/v1/completions", completion, map[string]string{"Authorization": "Bearer no"}, 401, CodeUnauthenticated},
		{"no key", "POST", "/v1/completions", completion, map[string]string{"Authorization": ""}, 401, CodeUnauthenticated},
		{"unknown service", "GET", "/v1/services/nothing/x", "", nil, 404, CodeUnknownService},
		{"service not in plan", "GET", "/v1/services/unplanned/x", "", nil, 403, CodeNotInPlan},
		{"engine as plain service", "GET", "/v1/services/plate-scribe/x", "", nil, 400, CodeWrongProtocol},
		{"plain service as engine", "POST", "/v1/completions", `{"model":"order-desk"}`, nil, 400, CodeWrongProtocol},
		{"body too large", "POST", "/v1/completions", completion + strings.Repeat(" ", 2000), nil, 413, CodeBodyTooLarge},
		{"deadline in the past", "POST", "/v1/completions", completion, map[string]string{headerDeadline: "-5"}, 400, CodeDeadlinePassed},
		{"deadline too long", "POST", "/v1/completions", completion, map[string]string{headerDeadline: "60001"}, 400, CodeDeadlineTooLong},
		{"malformed deadline", "POST", "/v1/completions", completion, map[string]string{headerDeadline: "soon"}, 400, CodeBadRequest},
		{"malformed body", "POST", "/v1/completions", "{", nil, 400, CodeBadRequest},
		{"no model", "POST", "/v1/completions", "{}", nil, 400, CodeBadRequest},
		{"malformed id", "POST", "/v1/completions", completion, map[string]string{headerRequestID: "a b"}, 400, CodeBadRequest},
		{"long key", "POST", "/v1/services/order-desk/orders", "", map[string]string{headerIdempotencyKey: strings.Repeat("k", 200)}, 400, CodeBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := fx.send(c.method, c.path, c.body, c.header)
			e := answer.failure(t)
			require.Equal(t, c.status, answer.status)
			require.Equal(t, c.code, e.Code)
			require.True(t, e.NotRun)
			require.NotEmpty(t, e.Message)
		})
	}
	require.Zero(t, fx.scheduler.submitted, "a refused request reached the scheduler")
}

// TestNonStreamedCompletion checks that the text of a completion that is not
// streamed equals the engine's output byte for byte.
func TestNonStreamedCompletion(t *testing.T) {
	fx := newFixture(t)
	answer := fx.send("POST", "/v1/completions", completionBody(40, false), nil)
	require.Equal(t, http.StatusOK, answer.status)
	var document completionResponse
	require.NoError(t, json.Unmarshal([]byte(answer.body), &document))
	require.Equal(t, fake.CompletionText(5, 40), document.Choices[0].Text)
	require.Contains(t, string(document.Usage), `"generated_tokens":40`)
}

// TestPreemptedRequestIsCompleted guards against lost or repeated tokens when a
// run is preempted and the request continues on another engine.
func TestPreemptedRequestIsCompleted(t *testing.T) {
	fx := newFixture(t)
	for _, engine := range fx.engines {
		engine.SetFaults(fake.Faults{SlowFactor: 20})
	}
	var once sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fx.handler.ServeHTTP(&writeHook{ResponseWriter: w, then: func() {
			once.Do(func() { fx.scheduler.stop("request-0001@clerks") })
		}}, r)
	}))
	t.Cleanup(server.Close)
	answer := fx.sendTo(server.URL, "POST", "/v1/completions", completionBody(60, true),
		map[string]string{headerRequestID: "request-0001"})
	require.Equal(t, fake.CompletionText(5, 60), joinTokens(t, answer.body, 60))
	require.Equal(t, []dispatch.Outcome{dispatch.OutcomeStopped, dispatch.OutcomeDone}, fx.scheduler.outcomes)
	require.Equal(t, 1, runsOf(fx.engines[0], "request-0001.1.").Runs)
	require.Equal(t, 1, runsOf(fx.engines[1], "request-0001.2.").Continuations)
}

// runsOf sums the records of the engine's runs whose ids begin with prefix.
func runsOf(engine *fake.Engine, prefix string) fake.RunRecord {
	var sum fake.RunRecord
	for name, record := range engine.Status().Ledger {
		if strings.HasPrefix(name, prefix) {
			sum.Runs += record.Runs
			sum.Continuations += record.Continuations
		}
	}
	return sum
}

// TestRequestIDsAreScopedToWorkspace guards against a workspace that, by using the
// request id of another workspace, gets the answer of that request or disturbs it.
func TestRequestIDsAreScopedToWorkspace(t *testing.T) {
	fx := newFixture(t)
	for _, engine := range fx.engines {
		engine.SetFaults(fake.Faults{SlowFactor: 20})
	}
	fx.scheduler.hosts = fx.scheduler.hosts[:1] // both run on one engine
	var wg sync.WaitGroup
	bodies := map[string]string{testKey: completionBody(30, true), otherKey: strings.Replace(completionBody(30, true), `"seed":5`, `"seed":6`, 1)}
	answers := map[string]response{}
	var mu sync.Mutex
	for key, body := range bodies {
		wg.Go(func() {
			header := map[string]string{headerRequestID: "request-0009", "Authorization": "Bearer " + key}
			answer := fx.send("POST", "/v1/completions", body, header)
			mu.Lock()
			defer mu.Unlock()
			answers[key] = answer
		})
	}
	wg.Wait()
	require.Equal(t, fake.CompletionText(5, 30), joinTokens(t, answers[testKey].body, 30))
	require.Equal(t, fake.CompletionText(6, 30), joinTokens(t, answers[otherKey].body, 30))
}

// writeHook calls then after each write of the body.
type writeHook struct {
	http.ResponseWriter
	then func()
}

func (w *writeHook) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *writeHook) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.then()
	return n, err
}

// joinTokens checks that the event ids of a stream are 1 to count, and returns the
// text.
func joinTokens(t *testing.T, body string, count int) string {
	var text strings.Builder
	next := 1
	for _, line := range strings.Split(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			require.Equal(t, fmt.Sprint(next), id)
			next++
		}
		var chunk fake.Chunk
		if data, ok := strings.CutPrefix(line, "data: {\"index\""); ok {
			require.NoError(t, json.Unmarshal([]byte("{\"index\""+data), &chunk))
			text.WriteString(chunk.Token)
		}
	}
	require.Equal(t, count+1, next)
	return text.String()
}

// TestStreamContinuesAtAnotherRouter checks that the caller can continue a stream
// at another router and that another workspace cannot.
func TestStreamContinuesAtAnotherRouter(t *testing.T) {
	fx := newFixture(t)
	first := fx.send("POST", "/v1/completions", completionBody(30, true), map[string]string{headerRequestID: "request-0002"})
	other := httptest.NewServer(fx.newHandler("r2"))
	t.Cleanup(other.Close)
	header := map[string]string{headerResume: first.header.Get(headerResume), headerLastEvent: "12"}
	second := fx.sendTo(other.URL, "GET", "/v1/requests/request-0002/events", "", header)
	require.Contains(t, second.body, "id: 13\n")
	require.NotContains(t, second.body, "id: 12\n")
	require.Contains(t, second.body, "id: 30\n")
	require.Contains(t, second.body, "[DONE]")
	header["Authorization"] = "Bearer " + otherKey
	third := fx.sendTo(other.URL, "GET", "/v1/requests/request-0002/events", "", header)
	require.Equal(t, CodeBadResume, third.failure(t).Code)
}

// TestIdempotencyKeyRunsOnce checks that calls with the same idempotency key
// through two routers run once, and that later calls get the stored answer.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	fx := newFixture(t)
	other := httptest.NewServer(fx.newHandler("r2"))
	t.Cleanup(other.Close)
	header := map[string]string{headerIdempotencyKey: "commit-1"}
	var wg sync.WaitGroup
	for i := range 8 {
		url := []string{fx.server.URL, other.URL}[i%2]
		wg.Go(func() { fx.sendTo(url, "POST", "/v1/services/order-desk/orders", `{"plates":3}`, header) })
	}
	wg.Wait()
	require.Equal(t, 1, fx.runs("commit-1"))
	// The outcome is stored shortly after the answer. Until then a second call gets
	// the error "running".
	var stored response
	require.Eventually(t, func() bool {
		stored = fx.sendTo(other.URL, "POST", "/v1/services/order-desk/orders", `{"plates":3}`, header)
		return stored.status != http.StatusConflict
	}, time.Minute, 10*time.Millisecond)
	require.Equal(t, "true", stored.header.Get(headerStored))
	require.Equal(t, http.StatusCreated, stored.status)
	require.Equal(t, 1, fx.runs("commit-1"))
	reused := fx.send("POST", "/v1/services/order-desk/orders", `{"plates":4}`, header)
	require.Equal(t, CodeKeyReused, reused.failure(t).Code)
}

// TestLostAnswerIsOutcomeUnknown checks that a call whose answer was lost is not
// reported as not run, and that a retry with the same key does not run it again.
func TestLostAnswerIsOutcomeUnknown(t *testing.T) {
	fx := newFixture(t)
	for _, p := range fx.plains {
		p.SetFaults(fake.Faults{LoseAnswers: true})
	}
	header := map[string]string{headerIdempotencyKey: "commit-2"}
	e := fx.send("POST", "/v1/services/order-desk/orders", "{}", header).failure(t)
	require.Equal(t, CodeOutcomeUnknown, e.Code)
	require.False(t, e.NotRun)
	require.Eventually(t, func() bool {
		e = fx.send("POST", "/v1/services/order-desk/orders", "{}", header).failure(t)
		require.False(t, e.NotRun)
		return e.Code != CodeRunning
	}, time.Minute, 10*time.Millisecond)
	require.Equal(t, CodeOutcomeUnknown, e.Code)
	require.Equal(t, 1, fx.runs("commit-2"))
}

// TestIdempotencyKeyNeedsRecord checks that a call with an idempotency key does not
// run if its record cannot be stored.
func TestIdempotencyKeyNeedsRecord(t *testing.T) {
	fx := newFixture(t)
	fx.objects.SetFaults(func(f *fake.ObjectFaults) { f.Outage = true })
	e := fx.send("POST", "/v1/services/order-desk/orders", "{}", map[string]string{headerIdempotencyKey: "commit-3"}).failure(t)
	require.Equal(t, CodeRecordsUnavailable, e.Code)
	require.True(t, e.NotRun)
	require.Zero(t, fx.runs("commit-3"))
}

// TestRefusedCallRunsElsewhere checks that a call that an upstream refused is
// retried on another one.
func TestRefusedCallRunsElsewhere(t *testing.T) {
	fx := newFixture(t)
	fx.plains[0].SetFaults(fake.Faults{Refuse: true})
	for i := range 4 {
		key := fmt.Sprintf("commit-4-%d", i)
		answer := fx.send("POST", "/v1/services/order-desk/orders", "{}", map[string]string{headerIdempotencyKey: key})
		require.Equal(t, http.StatusCreated, answer.status, answer.body)
		require.Equal(t, 1, fx.runs(key))
	}
}

// TestPlainServiceGetsThePathAsItWasSent guards against a path whose escapes become
// separators, or the begin of a query, on the way to a plain service.
func TestPlainServiceGetsThePathAsItWasSent(t *testing.T) {
	fx := newFixture(t)
	received := make(chan string, 1)
	service := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r.RequestURI }))
	t.Cleanup(service.Close)
	for i := range fx.scheduler.hosts {
		fx.scheduler.hosts[i].Address = strings.TrimPrefix(service.URL, "http://")
	}
	for _, path := range []string{"/orders/a%2Fb", "/orders/a%3Fb", "/orders/100%25", "/orders/%20", "/orders/7?x=%2F", "/"} {
		require.Equal(t, http.StatusOK, fx.send("GET", "/v1/services/order-desk"+path, "", nil).status, path)
		require.Equal(t, path, <-received)
	}
}

// deadlineRecorder records the write deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return nil
}

// TestEachRequestClearsTheWriteDeadline guards against a response that fails
// because the write deadline of the previous response on the same connection has
// passed.
func TestEachRequestClearsTheWriteDeadline(t *testing.T) {
	fx := newFixture(t)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	fx.handler.ServeHTTP(w, httptest.NewRequest("GET", "/v1/entries", nil))
	require.Equal(t, []time.Time{{}}, w.deadlines)
}

// TestReleaseBeforeRunStarts checks that Release works before the run has started.
func TestReleaseBeforeRunStarts(t *testing.T) {
	fx := newFixture(t)
	req := request{id: "request-0003"}
	req.workspace.Name = "clerks"
	tc := fx.handler.trackCompletion(req, 0)
	require.True(t, fx.handler.Release("request-0003@clerks"))
	require.ErrorIs(t, tc.ctx.Err(), context.Canceled)
	require.True(t, tc.isReleased())
}

// TestContinuedRequestIsNeverReportedAsNotRun checks that an error for a request
// of which the caller has received events does not say that it did not run.
func TestContinuedRequestIsNeverReportedAsNotRun(t *testing.T) {
	fx := newFixture(t)
	fx.directory.down = &Error{Status: http.StatusServiceUnavailable, Code: CodeNotReady, NotRun: true}
	header := map[string]string{headerRequestID: "request-0010", headerLastEvent: "7"}
	e := fx.send("POST", "/v1/completions", completionBody(20, true), header).failure(t)
	require.Equal(t, CodeNotReady, e.Code)
	require.False(t, e.NotRun)
	fx.directory.down = nil
	for _, engine := range fx.engines {
		engine.SetFaults(fake.Faults{Refuse: true})
	}
	header[headerRequestID] = "request-0011"
	require.NotContains(t, fx.send("POST", "/v1/completions", completionBody(20, true), header).body, `"not_run":true`)
}

// TestRefusedRetryIsNotReportedAsNotRun checks that a call whose first attempt may
// have run is not reported as not run when its second attempt is refused.
func TestRefusedRetryIsNotReportedAsNotRun(t *testing.T) {
	fx := newFixture(t)
	fx.plains[0].SetFaults(fake.Faults{LoseAnswers: true})
	fx.plains[1].SetFaults(fake.Faults{Refuse: true})
	fx.scheduler.refuseFrom = 2
	e := fx.send("GET", "/v1/services/order-desk/orders/7", "", nil).failure(t)
	require.Equal(t, CodeDeadlinePassed, e.Code)
	require.False(t, e.NotRun)
}
