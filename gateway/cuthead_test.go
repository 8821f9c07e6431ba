package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// cutHeads starts an upstream that ends its connection in the head of an answer: after the
// number of bytes in the field Cut-After of the request, and with a reset if it has a field
// Cut-Reset. It returns the number of such answers so far.
func (s *testSite) cutHeads(service string, host int) (answers *atomic.Int64) {
	s.t.Helper()
	answers = &atomic.Int64{}
	s.serve(service, host, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // nothing follows from an error
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		after, err := strconv.Atoi(r.Header.Get("Cut-After"))
		if err != nil {
			return
		}
		answers.Add(1)
		_, _ = io.WriteString(connection, cutHead(r.Header.Get("Request-Id"))[:after])
		if tcp, ok := connection.(*net.TCPConn); ok && r.Header.Get("Cut-Reset") != "" {
			_ = tcp.SetLinger(0)
		}
	})
	return answers
}

// cutHead returns the head of an answer without the empty line at its end.
func cutHead(id string) string {
	return strings.Join([]string{
		"HTTP/1.1 200 OK", "Request-Id: " + id, "Response-Seal: seal-x", "Content-Type: text/event-stream", "Server-Load: 1,0,8,100", "",
	}, "\r\n")
}

// A head that ends early, also after a whole line, must not reach a caller as an answer.
func TestHeadThatEndsEarlyIsNoAnswer(t *testing.T) {
	for name, route := range map[string]struct{ service, path string }{
		"stream":         {site.EngineService, site.NonResumablePath},
		"not repeatable": {site.PlainService, site.OrderPath},
		"idempotent":     {site.PlainService, site.StatusPath},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, 0)
			answers := s.cutHeads(route.service, 180)
			r := s.start(true)
			requests := int64(0)
			for after := 0; after <= len(cutHead(newID())); after++ {
				for _, reset := range []string{"", "1"} {
					q := streamRequest(route.path)
					q.header = map[string]string{"Cut-After": strconv.Itoa(after), "Cut-Reset": reset}
					requests++
					if got := r.ask(q); got.err == nil {
						assert.GreaterOrEqual(t, got.status, 500, "%d bytes, reset %q", after, reset)
					}
				}
			}
			assert.Greater(t, answers.Load(), requests/2, "requests reached the upstream")
		})
	}
}
