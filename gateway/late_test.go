package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// refusing returns the time after which a stopping router refuses new requests.
func (r *testRouter) refusing() time.Duration { return time.Duration(0.375 * float64(r.Grace)) }

// slowSite returns a site with one plain runner that works longer on a request than a router
// has time to stop.
func slowSite(t *testing.T) *testSite {
	s := newSite(t, 0, 0)
	s.plainRunners = append(s.plainRunners, s.runner(150, &site.Runner{ID: "p-0", Service: site.PlainService, WorkTime: 4 * time.Second}))
	return s
}

// post sends the head and all but the last byte of the body of a request. The returned
// function sends that byte and returns the response, nil if the connection ends without one.
func (r *testRouter) post(t *testing.T, q request) (complete func() *http.Response) {
	t.Helper()
	connection, err := net.Dial("tcp", r.CallerAddress())
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: 9000\r\nContent-Length: 2\r\n\r\na", q.path, site.Host, q.id)
	require.NoError(t, err)
	return func() *http.Response {
		_, err := io.WriteString(connection, "b")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return nil
		}
		t.Cleanup(func() { response.Body.Close() })
		return response
	}
}

// A request whose body ends late in the grace time was sent on, and cut off without an
// answer when the router exited.
func TestRequestReadLateInTheGraceTimeIsRefused(t *testing.T) {
	s := slowSite(t)
	r := s.start(true)
	q := request{path: site.OrderPath + "1", id: newID()}
	complete := r.post(t, q)
	r.stop()
	time.Sleep(r.refusing() + 300*time.Millisecond)
	response := complete()
	require.NotNil(t, response, "the connection ended without an answer")
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Zero(t, s.runs(q.id))
}

// A request that an upstream still works on when the router exits was cut off without an
// answer.
func TestRequestInProgressAtTheExitIsAnswered(t *testing.T) {
	s := slowSite(t)
	r := s.start(true)
	q := request{path: site.OrderPath + "1", id: newID(), deadline: 9000}
	answers := make(chan answer, 1)
	go func() { answers <- r.ask(q) }()
	require.Eventually(t, func() bool { return s.runs(q.id) == 1 }, time.Second, time.Millisecond)
	r.stop()
	got := <-answers
	require.NoError(t, got.err)
	assert.Equal(t, http.StatusBadGateway, got.status, "the outcome is not known")
	assert.Equal(t, 1, s.runs(q.id))
}
