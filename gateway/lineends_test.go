package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// eventIDs returns the ids of the events of a stream, in order.
func eventIDs(stream string) []string {
	var ids []string
	for line := range strings.FieldsFuncSeq(stream, func(c rune) bool { return c == '\n' || c == '\r' }) {
		if id, isID := strings.CutPrefix(line, "id: "); isID {
			ids = append(ids, id)
		}
	}
	return ids
}

// A stream that breaks off must continue at another upstream without missing or repeated
// events, whatever its line ends are and whether comments stand before its events.
func TestBrokenStreamContinuesWithEveryLineEnd(t *testing.T) {
	for name, lineEnd := range map[string]string{"line feed": "\n", "carriage return": "\r", "both": "\r\n"} {
		for _, comment := range []string{"", ": comment\n"} {
			t.Run(fmt.Sprintf("%s, comment %q", name, comment), func(t *testing.T) {
				s := newSite(t, 1, 0)
				s.engines[0].SetBehaviour(site.Truncating) // until the other engine has broken off once
				s.serve(site.EngineService, 160, func(w http.ResponseWriter, request *http.Request) {
					w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
					w.Header().Set("Response-Seal", "seal")
					w.Header().Set("Content-Type", "text/event-stream")
					last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 for a new stream
					for i := last + 1; i <= 6; i++ {
						event := strings.ReplaceAll(comment+site.StreamBody(i, i), "\n", lineEnd)
						_, _ = io.WriteString(w, event) // an error means that the router has disconnected
						_ = http.NewResponseController(w).Flush()
						if last == 0 && i == 3 {
							s.engines[0].SetBehaviour(site.Healthy)
							panic(http.ErrAbortHandler)
						}
					}
				})
				r := s.start(true)
				for range 4 {
					got := r.ask(streamRequest(site.StreamPath))
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
					assert.True(t, slices.Equal([]string{"1", "2", "3", "4", "5", "6"}, eventIDs(got.body)), "%q", got.body)
				}
			})
		}
	}
}
