package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// A path that begins with two slashes reached the upstream as another host and path.
func TestPathWithTwoSlashesIsSentOnUnchanged(t *testing.T) {
	s := newSite(t, 0, 0)
	type line struct{ host, target string }
	received := make(chan line, 1)
	s.serve(site.PlainService, 180, func(w http.ResponseWriter, r *http.Request) {
		received <- line{r.Host, r.RequestURI}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
	})
	config := site.Config(2)
	config["routes"].([]any)[2].(map[string]any)["path_prefix"] = "/"
	s.store.Put("config", "main", config)
	r := s.start(true)
	for _, target := range []string{"//archive/x?a=1", "/a//b"} {
		connection, err := net.Dial("tcp", r.CallerAddress())
		require.NoError(t, err)
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: 3000\r\nContent-Length: 0\r\n\r\n", target, site.Host, newID())
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode, target)
		assert.Equal(t, line{site.Host, target}, <-received)
	}
}
