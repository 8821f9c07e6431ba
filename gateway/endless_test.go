package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// maxEndlessBytes is how much a runner may send of one response without end, with
// what the buffers of both sockets hold.
const maxEndlessBytes = 6 << 20

// An engine that sends a head or events without end must not fill the router's
// memory, and its streams must continue at another engine.
func TestStreamsWithoutEndContinueElsewhere(t *testing.T) {
	for name, behaviour := range map[string]site.Behaviour{"head": site.EndlessHead, "body": site.EndlessBody} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 1)
			r := s.start(true)
			s.engines[0].SetBehaviour(behaviour)
			for i := range 8 {
				q := streamRequest(site.StreamPath)
				q.prompt = fmt.Sprintf("aa:10,bb%d:10,cc%d:10", i, i)
				got := r.ask(q)
				require.NoError(t, got.err)
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, site.StreamBody(1, 6), got.body)
			}
			runs := len(s.engines[0].Runs())
			require.NotZero(t, runs, "no request went to the engine")
			assert.Less(t, s.engines[0].EndlessBytes(), int64(runs)*maxEndlessBytes)
			assert.Eventually(t, func() bool { return s.engines[0].Running() == 0 }, 5*time.Second, 10*time.Millisecond, "a connection is not closed")
		})
	}
}

// A plain service that sends a head or a body without end must not hold a request
// past its deadline, and the response must not look complete.
func TestPlainResponsesWithoutEndBreakOff(t *testing.T) {
	for name, behaviour := range map[string]site.Behaviour{"head": site.EndlessHead, "body": site.EndlessBody} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 1)
			r := s.start(true)
			s.plainRunners[0].SetBehaviour(behaviour)
			q := request{path: site.OrderPath + "1", id: newID(), body: "order", deadline: 500}
			sent := time.Now()
			got := r.ask(q)
			assert.Less(t, time.Since(sent), 3*time.Second)
			assert.Equal(t, 1, s.runs(q.id))
			if got.err == nil {
				assert.Equal(t, http.StatusBadGateway, got.status)
			}
			if behaviour == site.EndlessHead {
				assert.Less(t, s.plainRunners[0].EndlessBytes(), int64(maxEndlessBytes))
			}
			assert.Eventually(t, func() bool { return s.plainRunners[0].Running() == 0 }, 5*time.Second, 10*time.Millisecond, "a connection is not closed")
		})
	}
}
