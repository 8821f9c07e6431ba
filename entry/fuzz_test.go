package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fuzzTimeout ends answers of many tokens. The checks hold for a truncated answer.
const fuzzTimeout = 300 * time.Millisecond

// parseHeaders parses lines of the form "Name: value".
func parseHeaders(text string) http.Header {
	header := http.Header{}
	for _, line := range strings.Split(text, "\n") {
		if name, value, ok := strings.Cut(line, ":"); ok {
			header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
		}
	}
	return header
}

// FuzzHandler guards against a request that makes the handler panic, gets an error
// without a code, or reaches the scheduler without the key of a workspace.
func FuzzHandler(f *testing.F) {
	known := "Authorization: Bearer " + testKey + "\n"
	completion := completionBody(3, true)
	for _, method := range []string{"GET", "POST", "OPTIONS"} {
		for _, path := range []string{
			"/v1/entries", "/v1/completions", "/v1/requests/request-0001/events", "/v1/services/order-desk/orders",
			"/v1/services//x", "/v1/services/unplanned/x", "/healthz", "/nowhere", "//", "*",
		} {
			f.Add(method, path, known, completion)
			f.Add(method, path, "", completion)
		}
	}
	f.Add("POST", "/v1/completions", known+"Lacewing-Request-Id: request-0001\nLacewing-Deadline-Ms: 500\nLacewing-Cost-Hint: 7", completion)
	f.Add("POST", "/v1/completions", known+"Last-Event-ID: 2\nLacewing-Resume: AAAA", completion)
	f.Add("POST", "/v1/completions", known+"Last-Event-ID: -9223372036854775808", completion)
	f.Add("POST", "/v1/services/order-desk/a%2fb?x=%zz", known+"Idempotency-Key: k\nTe: x", "{")
	f.Add("POST", "/v1/completions", "Authorization: Bearer \nConnection: close", `{"model":null,"max_tokens":-1}`)
	f.Fuzz(func(t *testing.T, method, target, headers, body string) {
		ctx, cancel := context.WithTimeout(t.Context(), fuzzTimeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
		if err != nil {
			return
		}
		request.RequestURI = target
		request.Header = parseHeaders(headers)
		fx := newFixture(t)
		answer := httptest.NewRecorder()
		fx.handler.ServeHTTP(answer, request)
		fx.scheduler.mu.Lock()
		submitted := fx.scheduler.submitted
		fx.scheduler.mu.Unlock()
		switch request.Header.Get("Authorization") {
		case "Bearer " + testKey, "Bearer " + otherKey:
		default:
			require.Zero(t, submitted)
		}
		// After a grant, the error may come from the plain service itself.
		if answer.Code < http.StatusBadRequest || submitted > 0 && strings.HasPrefix(request.URL.Path, "/v1/services/") {
			return
		}
		var document struct{ Error Error }
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &document), "%d %q", answer.Code, answer.Body)
		require.NotEmpty(t, document.Error.Code)
		require.NotEmpty(t, document.Error.Message)
		require.Equal(t, "application/json", answer.Header().Get("Content-Type"))
	})
}
