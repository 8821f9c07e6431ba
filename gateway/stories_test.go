package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// A second copy of an answer that arrives late, on a connection that is in use
// again, must not reach the next caller, and must not fail a request that may not be
// repeated.
func TestLateSecondAnswerReachesNobody(t *testing.T) {
	for name, b := range map[string]site.Behaviour{"with its id": site.RepeatedAnswer, "without an id": site.AnonymousRepeat} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, 2)
			r := s.start(true)
			for _, p := range s.plainRunners {
				p.SetBehaviour(b)
			}
			for i := range 12 {
				q := request{path: site.OrderPath + "1", id: newID(), body: "order"}
				if i%2 == 1 {
					q = request{method: http.MethodGet, path: site.StatusPath + "1", id: newID()}
				}
				got := r.ask(q)
				require.NoError(t, got.err)
				if got.status == http.StatusOK {
					assert.Equal(t, site.PlainBody(q.id), got.body)
				}
				if q.method == "" {
					assert.Equal(t, http.StatusOK, got.status, "order %d", i)
					assert.Equal(t, 1, s.runs(q.id))
				}
			}
		})
	}
}

// A stream that sends comment lines but no events is stalled and continues at another
// upstream.
func TestDrippingStreamContinuesElsewhere(t *testing.T) {
	s := newSite(t, 2, 0)
	r := s.start(true)
	for _, dripping := range s.engines {
		dripping.SetBehaviour(site.Dripping)
		q := streamRequest(site.StreamPath)
		q.deadline = 10_000
		got := r.ask(q)
		dripping.SetBehaviour(site.Healthy)
		require.NoError(t, got.err)
		assert.Contains(t, got.body, site.StreamBody(4, 6))
	}
}

// A slow but sound stream must not be broken off when no other upstream can take it
// over.
func TestSlowStreamIsNotBrokenOffWithoutSuccessor(t *testing.T) {
	s := newSite(t, 1, 0)
	r := s.start(true)
	s.engines[0].SetBehaviour(site.SlowStream)
	q := streamRequest(site.StreamPath)
	q.deadline = 8000
	got := r.ask(q)
	require.NoError(t, got.err)
	assert.Equal(t, site.StreamBody(1, 6), got.body)
	assert.Equal(t, 1, s.runs(q.id))
}

// A router that exits must answer a request that it has begun to read, although the
// head is completed only after the router has decided to exit.
func TestRequestReadWhileExitingIsAnswered(t *testing.T) {
	s := newSite(t, 0, 1)
	r := s.start(true)
	connection, err := net.Dial("tcp", r.CallerAddress())
	require.NoError(t, err)
	defer connection.Close()
	r.stop()
	// The router has nothing in progress and exits when callers have had the time to
	// learn of others.
	exit := time.Now().Add(time.Duration(0.375 * float64(r.Grace)))
	time.Sleep(time.Until(exit.Add(-200 * time.Millisecond)))
	q := request{path: site.OrderPath + "1", id: newID()}
	head := "POST " + q.path + " HTTP/1.1\r\nHost: " + site.Host + "\r\nRequest-Id: " + q.id + "\r\n"
	_, err = io.WriteString(connection, head)
	require.NoError(t, err)
	time.Sleep(time.Until(exit.Add(100 * time.Millisecond)))
	_, err = io.WriteString(connection, "Deadline: 2000\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Zero(t, s.runs(q.id))
}
