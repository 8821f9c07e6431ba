package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// evenPace returns a handler that sends body in pieces at an even pace, for which it takes
// the given time.
func evenPace(contentType string, body []byte, duration time.Duration) http.HandlerFunc {
	const pieces = 40
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // nothing follows from an error
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
		w.Header().Set("Content-Type", contentType)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		for i := range pieces {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(duration / pieces):
			}
			_, _ = w.Write(body[i*len(body)/pieces : (i+1)*len(body)/pieces])
			_ = http.NewResponseController(w).Flush() // an error shows in the context
		}
	}
}

// A sound upstream that takes longer over a large answer than it may be silent was cut off
// in the middle when another upstream was free, although no other answer can follow.
func TestSlowLargeAnswerIsNotCutOff(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcde\n"), 16<<10)
	document := bytes.Repeat([]byte("a document\n\n"), 1<<10)
	for name, test := range map[string]struct {
		service, path string
		handler       http.HandlerFunc
		body          []byte
	}{
		"idempotent request":         {site.PlainService, site.StatusPath, evenPace("text/plain", large, 1800*time.Millisecond), large},
		"document on a stream route": {site.EngineService, site.StreamPath, evenPace("text/plain", document, 3*time.Second), document},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, 0)
			s.serve(test.service, 180, test.handler)
			r := s.start(true)
			answers := make(chan answer, 1)
			q := streamRequest(test.path)
			q.deadline = 8000
			go func() { answers <- r.ask(q) }()
			time.Sleep(200 * time.Millisecond)
			s.engines = append(s.engines, s.runner(100, &site.Runner{ID: "e-0", Service: site.EngineService, Events: 6}))
			s.plainRunners = append(s.plainRunners, s.runner(150, &site.Runner{ID: "p-0", Service: site.PlainService}))
			got := <-answers
			require.NoError(t, got.err)
			assert.Equal(t, http.StatusOK, got.status)
			assert.Equal(t, string(test.body), got.body)
			assert.Zero(t, s.runs(q.id), "request was sent to another upstream")
		})
	}
}
