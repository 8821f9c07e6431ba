package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// cutsWithoutFraming are the ways in which an answer that only the end of its
// connection ends can break off.
var cutsWithoutFraming = map[string]site.Behaviour{
	"inside an event": site.UnframedCut, "by a reset": site.UnframedReset, "before the first event": site.UnframedEmpty,
}

// Whole answers that end with their connection are relayed as complete.
func TestAnswersWithoutFramingAreServed(t *testing.T) {
	s := newSite(t, 1, 1)
	r := s.start(true)
	s.engines[0].SetBehaviour(site.Unframed)
	s.plainRunners[0].SetBehaviour(site.Unframed)
	got := r.ask(streamRequest(site.NonResumablePath))
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, site.StreamBody(1, 6), got.body)
	q := request{path: site.OrderPath + "1", id: newID()}
	got = r.ask(q)
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, site.PlainBody(q.id), got.body)
}

// A stream without framing that breaks off must not reach its caller as complete.
func TestCutStreamWithoutFramingDoesNotLookComplete(t *testing.T) {
	for name, b := range cutsWithoutFraming {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 0)
			r := s.start(true)
			s.engines[0].SetBehaviour(b)
			got := r.ask(streamRequest(site.NonResumablePath))
			assert.True(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
		})
	}
}

// A resumable stream without framing that breaks off must continue at another engine
// without missing or repeated events.
func TestCutStreamWithoutFramingContinuesElsewhere(t *testing.T) {
	for name, b := range cutsWithoutFraming {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 0)
			r := s.start(true)
			for _, cut := range s.engines {
				cut.SetBehaviour(b)
				got := r.ask(streamRequest(site.StreamPath))
				cut.SetBehaviour(site.Healthy)
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, site.StreamBody(1, 6), got.body)
			}
		})
	}
}

// A stream that its caller resumes must not end as complete if its engine, whose answer has
// no framing, ends the connection before the first event.
func TestResumedStreamWithoutEventsDoesNotLookComplete(t *testing.T) {
	s := newSite(t, 1, 0)
	r := s.start(true)
	s.engines[0].SetBehaviour(site.UnframedEmpty)
	q := streamRequest(site.StreamPath)
	q.header = map[string]string{"Last-Event-Id": "3"}
	got := r.ask(q)
	assert.True(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
}

// A stream that its caller resumes must go on at another engine if the first one, whose answer
// has no framing, ends the connection before the first event.
func TestResumedStreamWithoutEventsContinuesElsewhere(t *testing.T) {
	s := newSite(t, 2, 0)
	r := s.start(true)
	for _, empty := range s.engines {
		empty.SetBehaviour(site.UnframedEmpty)
		q := streamRequest(site.StreamPath)
		q.header = map[string]string{"Last-Event-Id": "3"}
		got := r.ask(q)
		empty.SetBehaviour(site.Healthy)
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, site.StreamBody(4, 6), got.body)
	}
}

// A stream that the router continues must not end as complete if the second engine, whose
// answer has no framing, ends the connection before its first event.
func TestContinuedStreamWithoutEventsDoesNotLookComplete(t *testing.T) {
	s := newSite(t, 0, 0)
	for i, id := range []string{"first", "second"} {
		s.serveAs(id, site.EngineService, 160+i, func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
			w.Header().Set("Response-Seal", "seal")
			w.Header().Set("Content-Type", "text/event-stream")
			if request.Header.Get("Last-Event-Id") != "" {
				w.Header().Set("Transfer-Encoding", "identity") // net/http then leaves out the chunks
				return
			}
			_, _ = io.WriteString(w, site.StreamBody(1, 3)) // an error means that the router has disconnected
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
	}
	r := s.start(true)
	got := r.ask(streamRequest(site.StreamPath))
	assert.Equal(t, site.StreamBody(1, 3), got.body)
	assert.Error(t, got.err)
}

// A plain answer without framing that is reset must not reach its caller as complete.
func TestResetPlainAnswerWithoutFramingDoesNotLookComplete(t *testing.T) {
	s := newSite(t, 0, 1)
	r := s.start(true)
	s.plainRunners[0].SetBehaviour(site.UnframedReset)
	q := request{path: site.OrderPath + "1", id: newID()}
	got := r.ask(q)
	assert.True(t, got.err != nil || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
	assert.Equal(t, 1, s.runs(q.id))
}

// A document in place of a stream, such as a moderation result, is no broken event.
func TestDocumentOnStreamRouteIsServed(t *testing.T) {
	s := newSite(t, 1, 0)
	r := s.start(true)
	s.engines[0].SetBehaviour(site.DocumentAnswer)
	got := r.ask(streamRequest(site.NonResumablePath))
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, site.Document, got.body)
}

// The response to an HTTP/1.0 caller ends with its connection, so a broken-off stream
// has to end with a reset.
func TestBrokenStreamDoesNotLookCompleteToHTTP10(t *testing.T) {
	s := newSite(t, 1, 0)
	r := s.start(true)
	s.engines[0].SetBehaviour(site.Truncating)
	connection, err := net.Dial("tcp", r.CallerAddress())
	require.NoError(t, err)
	defer connection.Close()
	q := streamRequest(site.NonResumablePath).build(t.Context(), r.CallerAddress())
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: 0\r\n", q.URL.RequestURI(), q.Host)
	require.NoError(t, q.Header.Write(&head))
	_, err = io.WriteString(connection, head.String()+"\r\n")
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(5*time.Second)))
	answer, err := io.ReadAll(connection)
	assert.ErrorIs(t, err, syscall.ECONNRESET, "answer: %s", answer)
}
