package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// answerRaw answers each request with raw bytes after its head, without reading its body,
// and ends the connection with a reset.
func answerRaw(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer connection.Close()
		_, _ = fmt.Fprintf(connection, answer, r.Header.Get("Request-Id")) // an error shows at the caller
		time.Sleep(30 * time.Millisecond)
		_ = connection.(*net.TCPConn).SetLinger(0) // an error means that the connection has ended
	}
}

// The system reports the reset of a connection once. When writing the upload took the report,
// reading the answer found an end of the connection, which ends an answer without a length.
func TestAnswerCutDuringUploadDoesNotLookComplete(t *testing.T) {
	for name, path := range map[string]string{"plain": site.OrderPath, "stream": site.NonResumablePath} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0, 0)
			config := site.Config(2)
			config["limits"].(map[string]any)["max_body_bytes"] = 16 << 20
			s.store.Put("config", "main", config)
			service := map[string]string{site.OrderPath: site.PlainService, site.NonResumablePath: site.EngineService}[path]
			s.serve(service, 180, answerRaw("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\nConnection: close\r\n\r\nid: 1\ndata: a part\n\n"))
			r := s.start(true)
			body := strings.Repeat("x", 12<<20)
			for range 6 {
				q := request{path: path + "1", id: newID(), body: body, key: site.Key, tokens: "10,10"}
				got := r.ask(q)
				assert.True(t, got.err != nil || got.status != http.StatusOK, "status %d, body %q", got.status, got.body)
			}
		})
	}
}

// A status that HTTP does not have made the router panic, and must not be passed on.
func TestImpossibleStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			s := newSite(t, 0, 0)
			s.serve(site.PlainService, 180, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // nothing follows from an error
				answerRaw("HTTP/1.1 "+status+" Status\r\nRequest-Id: %s\r\nResponse-Seal: seal\r\nContent-Length: 2\r\n\r\nok")(w, r)
			})
			r := s.start(true)
			got := r.ask(request{path: site.OrderPath + "1", id: newID()})
			assert.NoError(t, got.err)
			assert.Equal(t, http.StatusBadGateway, got.status)
		})
	}
}
