package fake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// streamResult is what a reader of a stream received.
type streamResult struct {
	text   string
	lastID string
	last   Chunk
	done   bool
}

func parseEvents(t *testing.T, body *bytes.Buffer) streamResult {
	t.Helper()
	var got streamResult
	for scanner := bufio.NewScanner(body); scanner.Scan(); {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			got.done = true
			continue
		}
		require.NoError(t, json.Unmarshal([]byte(data), &got.last))
		got.text += got.last.Token
	}
	return got
}

// call sends a request and returns the response. The body is truncated if the
// handler aborts the connection.
func call(ctx context.Context, handler http.Handler, method, path, body string) (recorder *httptest.ResponseRecorder) {
	recorder = httptest.NewRecorder()
	defer func() {
		if broken := recover(); broken != nil && broken != http.ErrAbortHandler {
			panic(broken)
		}
	}()
	request := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
	handler.ServeHTTP(recorder, request)
	return recorder
}

func complete(t *testing.T, e *Engine, body string) streamResult {
	t.Helper()
	return parseEvents(t, call(t.Context(), e, "POST", "/v1/completions", body).Body)
}

// Throughput must grow with the batch size up to the nominal size, and overload
// must lower it.
func TestEngineTokenTime(t *testing.T) {
	s := EngineSettings{}.withDefaults()
	require.Equal(t, 20*time.Millisecond, s.TokenTime(1))
	require.Equal(t, 45*time.Millisecond, s.TokenTime(s.Slots))
	throughput := func(batch int) float64 { return float64(batch) / s.TokenTime(batch).Seconds() }
	for batch := 2; batch <= s.Slots; batch++ {
		require.Greater(t, throughput(batch), throughput(batch-1))
	}
	require.Less(t, throughput(2*s.Slots), throughput(s.Slots))
}

// The tokens and timing of a response must depend only on the request and the
// load.
func TestEngineCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineSettings{})
		start := time.Now()
		got := complete(t, e, `{"request_id":"a","prompt":"0123456789abcdef","max_tokens":50,"seed":7,"length":10}`)
		require.Equal(t, CompletionText(7, 10), got.text)
		require.True(t, got.done)
		require.Equal(t, "10", got.lastID)
		require.Equal(t, FinishLength, got.last.FinishReason)
		require.EqualValues(t, 10, got.last.Usage.GeneratedTokens)
		require.EqualValues(t, 4, got.last.Usage.PromptTokens)
		require.Equal(t, 4*2*time.Millisecond+10*20*time.Millisecond, time.Since(start))
		time.Sleep(2 * streamRetention) // the stream must expire before the test ends
	})
}

// A repeated request id must not start a second run, and a resumed stream must
// neither repeat nor lose tokens.
func TestEngineResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineSettings{})
		e.SetFaults(Faults{DropAfterTokens: 3})
		body := `{"request_id":"a","prompt":"p","max_tokens":50,"seed":7,"length":10}`
		broken := complete(t, e, body)
		require.Equal(t, CompletionText(7, 3), broken.text)
		require.False(t, broken.done)
		rest := parseEvents(t, call(t.Context(), e, "GET", "/v1/streams/a?after=3", "").Body)
		require.Equal(t, CompletionText(7, 10), broken.text+rest.text)
		require.Equal(t, CompletionText(7, 10), complete(t, e, body).text)
		require.Equal(t, 1, e.Status().Ledger["a"].Runs)
		time.Sleep(2 * streamRetention)
		require.Equal(t, http.StatusNotFound, call(t.Context(), e, "GET", "/v1/streams/a", "").Code)
	})
}

// A stopped request that continues as a new run must neither lose nor repeat
// tokens.
func TestEngineStopAndContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineSettings{})
		body := `{"request_id":"a","prompt":"p","max_tokens":50,"seed":7,"length":10,"resume_tokens":%d}`
		first := make(chan streamResult)
		go func() { first <- complete(t, e, fmt.Sprintf(body, 0)) }()
		time.Sleep(100 * time.Millisecond)
		var stopped struct {
			Tokens int `json:"tokens"`
		}
		require.NoError(t, json.Unmarshal(call(t.Context(), e, "POST", "/v1/streams/a/cancel", "").Body.Bytes(), &stopped))
		got := <-first
		require.Equal(t, CompletionText(7, stopped.Tokens), got.text)
		require.Equal(t, FinishStopped, got.last.FinishReason)
		rest := complete(t, e, fmt.Sprintf(body, stopped.Tokens))
		require.Equal(t, CompletionText(7, 10), got.text+rest.text)
		require.Equal(t, RunRecord{Runs: 1, Continuations: 1, Tokens: 10}, e.Status().Ledger["a"])
		time.Sleep(2 * streamRetention) // the stream must expire before the test ends
	})
}

// A refused request must not run, and a frozen engine must make no progress.
func TestEngineFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineSettings{})
		body := `{"request_id":"a","prompt":"p","max_tokens":5,"seed":7,"length":5}`
		call(t.Context(), e, "POST", "/control", `{"refuse":true}`)
		require.Equal(t, http.StatusServiceUnavailable, call(t.Context(), e, "POST", "/v1/completions", body).Code)
		require.Empty(t, e.Status().Ledger)
		call(t.Context(), e, "POST", "/control", `{"refuse":false,"freeze":true}`)
		time.AfterFunc(time.Minute, func() { e.SetFaults(Faults{}) })
		start := time.Now()
		require.Equal(t, CompletionText(7, 5), complete(t, e, body).text)
		require.GreaterOrEqual(t, time.Since(start), time.Minute)
		time.Sleep(2 * streamRetention) // the stream must expire before the test ends
	})
}

// A run must stop when its caller has disconnected.
func TestEngineAbandonedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(EngineSettings{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		call(ctx, e, "POST", "/v1/completions", `{"request_id":"a","prompt":"p","max_tokens":100000,"length":100000}`)
		time.Sleep(2 * streamRetention)
		status := e.Status()
		require.Zero(t, status.Running)
		require.Less(t, status.Ledger["a"].Tokens, 1000)
	})
}

// An engine must reject orders from the holder of an expired lease if and only if
// it is configured to check fencing numbers.
func TestEngineFencing(t *testing.T) {
	for checks, want := range map[bool]int{true: http.StatusConflict, false: http.StatusOK} {
		e := NewEngine(EngineSettings{ChecksFencing: checks, OrderMillis: 0.001})
		require.Equal(t, http.StatusOK, call(t.Context(), e, "POST", "/v1/orders", `{"kind":"load","fence":2}`).Code)
		require.Equal(t, want, call(t.Context(), e, "POST", "/v1/orders", `{"kind":"load","fence":1}`).Code)
	}
}

// The cache must not exceed its size, and must count only the common prefix.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(2, 8)
	require.Zero(t, c.lookupAndStore("aaaaaaaa-1234567"))
	require.Equal(t, 3, c.lookupAndStore("aaaaaaaa-123xxxx"))
	require.Zero(t, c.lookupAndStore("bbbbbbbb"))
	require.Zero(t, c.lookupAndStore("cccccccc"))
	require.Zero(t, c.lookupAndStore("aaaaaaaa-1234567"), "the oldest entry must be evicted")
	require.Len(t, c.entries, 2)
}

// Load reports must be delayed by the lag, and slow spells must be the same for
// the same seed.
func TestMeterAndSpells(t *testing.T) {
	start := time.Unix(0, 0)
	m := newMeter(4, start)
	m.change(start.Add(time.Second), +3)
	require.Zero(t, m.report(start.Add(1500*time.Millisecond), time.Second).Running)
	require.Equal(t, 3, m.report(start.Add(2*time.Second), time.Second).Running)

	settings := SpellSettings{Seed: 1, MeanGapMillis: 1000, Millis: 500, Factor: 5}
	a, b := newSpells(settings, start), newSpells(settings, start)
	slow := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		require.Equal(t, a.factor(now), b.factor(now))
		if a.factor(now) > 1 {
			slow++
		}
	}
	require.InDelta(t, 10_000.0/3, slow, 1500)
}
