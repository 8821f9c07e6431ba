package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// configure stores a configuration with other limits.
func (s *testSite) configure(limits map[string]any) {
	config := site.Config(2)
	for name, value := range limits {
		config["limits"].(map[string]any)[name] = value
	}
	s.store.Put("config", "main", config)
}

// dial opens a connection to the router and sends text on it.
func (r *testRouter) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", r.CallerAddress())
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(connection, text)
	require.NoError(t, err)
	return connection
}

// orderHead returns the head of a request for the plain service with further fields.
func orderHead(fields string) string {
	return "POST " + site.OrderPath + "1 HTTP/1.1\r\nHost: " + site.Host + "\r\nRequest-Id: " + newID() + "\r\n" + fields + "\r\n"
}

// The limits of the configuration were not used; heads and idle connections had ones of the
// code's own, which are shorter or longer than what callers may rely on.
func TestTimeoutsOfTheConfigurationApply(t *testing.T) {
	s := newSite(t, 0, 1)
	s.configure(map[string]any{"header_timeout_ms": 800, "idle_timeout_ms": 2000})
	r := s.start(true)
	head := orderHead("Content-Length: 0\r\n")
	t.Run("head", func(t *testing.T) {
		begun := time.Now()
		connection := r.dial(t, head[:20])
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusRequestTimeout, response.StatusCode)
		assert.GreaterOrEqual(t, time.Since(begun), 750*time.Millisecond)
		assert.Less(t, time.Since(begun), 1900*time.Millisecond, "the idle timeout applied")
	})
	t.Run("idle", func(t *testing.T) {
		connection := r.dial(t, head)
		reader := bufio.NewReader(connection)
		answered := func() {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
		}
		answered()
		time.Sleep(1600 * time.Millisecond) // four fifths of the timeout
		_, err := io.WriteString(connection, orderHead("Content-Length: 0\r\n"))
		require.NoError(t, err)
		answered()
		idleSince := time.Now()
		_, err = reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		assert.GreaterOrEqual(t, time.Since(idleSince), 1900*time.Millisecond)
	})
}

// A body that does not arrive before the request's deadline was waited for without end.
func TestBodyThatStopsGetsARefusal(t *testing.T) {
	s := newSite(t, 0, 1)
	r := s.start(true)
	for name, text := range map[string]string{
		"length": orderHead("Deadline: 500\r\nContent-Length: 10\r\n") + "123",
		"chunks": orderHead("Deadline: 500\r\nTransfer-Encoding: chunked\r\n") + "3\r\n123\r\n3\r\n1",
	} {
		response, err := http.ReadResponse(bufio.NewReader(r.dial(t, text)), nil)
		require.NoError(t, err, name)
		assert.Equal(t, http.StatusRequestTimeout, response.StatusCode, name)
	}
	assert.Empty(t, s.plainRunners[0].Runs(), "the status means that the request has not run")
}

// A refusal was sent only after the rest of the body had arrived, if ever.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	s := newSite(t, 0, 1)
	r := s.start(true)
	begun := time.Now()
	connection := r.dial(t, "POST /none HTTP/1.1\r\nHost: "+site.Host+"\r\nRequest-Id: a\r\nContent-Length: 10\r\n\r\n123")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
	assert.Less(t, time.Since(begun), 5*time.Second)
}

// A caller that stops reading must not hold up the upstream until the request's deadline, and
// its answer must not look complete.
func TestReaderThatStopsDoesNotHoldUpTheUpstream(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			s := newSite(t, 0, 0)
			ended := make(chan time.Time, 1)
			s.serve(site.EngineService, 180, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Response-Seal", "seal")
				w.Header().Set("Content-Type", "text/event-stream")
				event := strings.Repeat("x", 4000)
				for i := 1; i < 20_000; i++ {
					if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, event); err != nil {
						break
					}
				}
				ended <- time.Now()
			})
			config := site.Config(2)
			for _, route := range config["routes"].([]any) {
				route.(map[string]any)["timeout_ms"] = 60_000
			}
			s.store.Put("config", "main", config)
			r := s.start(true)
			connection := r.dial(t, "POST "+site.NonResumablePath+"x HTTP/"+version+"\r\nHost: "+site.Host+"\r\nRequest-Id: "+newID()+
				"\r\nAuthorization: Bearer "+site.Key+"\r\nDeadline: 60000\r\nToken-Count: 10,10\r\nContent-Length: 0\r\n\r\n")
			begun := time.Now()
			select {
			case at := <-ended:
				assert.Less(t, at.Sub(begun), 8*time.Second)
			case <-time.After(15 * time.Second):
				require.Fail(t, "the upstream is held up")
			}
			rest, err := io.ReadAll(connection)
			assert.True(t, err != nil || !strings.HasSuffix(string(rest), "0\r\n\r\n"), "the answer looks complete")
			if version == "1.0" {
				assert.Error(t, err, "the answer looks complete")
			}
		})
	}
}
