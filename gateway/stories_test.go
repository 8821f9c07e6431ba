package gateway_test

import (
	"net/http"
	"testing"

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
