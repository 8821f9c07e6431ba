package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// A refusal that an upstream writes again on a kept connection must not be taken for the
// answer to the next request, which the upstream runs.
func TestRepeatedRefusalIsNotTheNextAnswer(t *testing.T) {
	for name, b := range map[string]site.Behaviour{"with its id": site.RepeatedRefusal, "without an id": site.AnonymousRefusal} {
		for path, method := range map[string]string{site.OrderPath: http.MethodPost, site.StatusPath: http.MethodGet} {
			t.Run(name+strings.TrimSuffix(path, "/"), func(t *testing.T) {
				s := newSite(t, 0, 1)
				r := s.start(true)
				s.plainRunners[0].SetBehaviour(b)
				for range 12 {
					q := request{method: method, path: path + "1", id: newID()}
					got := r.ask(q)
					require.NoError(t, got.err)
					switch got.status {
					case http.StatusOK:
						assert.Equal(t, site.PlainBody(q.id), got.body)
					case http.StatusServiceUnavailable, http.StatusTooManyRequests:
						assert.Zero(t, s.runs(q.id), "the caller is told that it has not run")
					}
					assert.LessOrEqual(t, s.runs(q.id), 1)
				}
			})
		}
	}
}

// What follows a stream that broke off must be its rest, or the caller must see the break.
func TestErrorAfterABrokenStreamDoesNotReachTheCaller(t *testing.T) {
	for name, b := range map[string]site.Behaviour{
		"500": site.Failing, "refusal": site.Shedding, "400 with a text": site.RejectingText, "200 with a document": site.DocumentAnswer,
		"200 with a text of no type": site.UntypedText, "200 with an error event": site.ErrorEvent, "stream from its begin": site.IgnoresLastEvent, "stream with a gap": site.SkipsEvent,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 0)
			r := s.start(true)
			for i := range s.engines {
				s.engines[i].SetBehaviour(site.Truncating)
				s.engines[1-i].SetBehaviour(b)
				q := streamRequest(site.StreamPath)
				got := r.ask(q)
				if got.status != http.StatusOK {
					continue // the other engine was asked first
				}
				if got.err == nil && s.engines[i].Runs()[q.id] == 0 {
					continue // as above
				}
				assert.Error(t, got.err, "the stream must not look complete")
				assert.True(t, strings.HasPrefix(site.StreamBody(1, 6), got.body), "%q", got.body)
			}
		})
	}
}
