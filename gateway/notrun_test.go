package gateway_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

func statusRequest() request {
	return request{method: http.MethodGet, path: site.StatusPath + "1", id: newID()}
}

// A status that tells callers that their request has not run must not be passed on from an
// upstream that has run it, on any kind of route.
func TestNotRunStatusOfARequestThatRanIsNotPassedOn(t *testing.T) {
	requests := map[string]func() request{
		"non-idempotent":       order,
		"idempotent":           statusRequest,
		"non-resumable stream": func() request { return streamRequest(site.NonResumablePath) },
		"resumable stream":     func() request { return streamRequest(site.StreamPath) },
	}
	for name, newRequest := range requests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, 0)
			service := site.PlainService
			if newRequest().tokens != "" {
				service = site.EngineService
			}
			var runs, status atomic.Int64
			s.serve(service, 150, func(w http.ResponseWriter, request *http.Request) {
				runs.Add(1)
				w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
				w.Header().Set("Response-Seal", "seal")
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(int(status.Load()))
				_, _ = io.WriteString(w, "failed after it has run\n") // an error means that the router has disconnected
			})
			r := s.start(true)
			// 503 comes last, since the router leaves the upstream alone afterwards.
			for i, code := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
				status.Store(int64(code))
				got := r.ask(newRequest())
				require.NoError(t, got.err)
				require.EqualValues(t, i+1, runs.Load())
				assert.Equal(t, http.StatusBadGateway, got.status, "upstream answered %d: %s", code, got.body)
				assert.Empty(t, got.header.Get("Response-Seal"), "the answer to %d is the router's own", code)
				assert.Empty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

// A request that may be repeated must be served by another upstream after one has answered
// that it has not run without saying so in the header for it.
func TestNotRunStatusOfARequestThatRanIsRetried(t *testing.T) {
	s := newSite(t, 0, 1)
	s.serve(site.PlainService, 160, func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	r := s.start(true)
	for range 8 {
		q := statusRequest()
		got := r.ask(q)
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status, got.body)
		assert.Equal(t, site.PlainBody(q.id), got.body)
	}
}
