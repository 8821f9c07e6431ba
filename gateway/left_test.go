package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A router that is short of processor time reads a request after its caller has
// disconnected, and must not send it on. net/http alone has not detected the
// disconnect at that moment. It failed the check GONE on Piedmont scale-2 with seed
// 781954706660.
func TestCallerLeftBeforeRequestWasRead(t *testing.T) {
	for name, leaves := range map[string]bool{"left": true, "waits": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			caller, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("x", 30000))
			require.NoError(t, err)
			if leaves {
				caller.Close()
			}
			defer caller.Close()
			time.Sleep(20 * time.Millisecond)
			left := make(chan bool, 1)
			server := &http.Server{ConnContext: withConnection, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The check runs before the body is read, so the connection still
				// holds unread bytes.
				left <- callerLeft(r)
				_, _ = io.ReadAll(r.Body)
			})}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			assert.Equal(t, leaves, <-left)
		})
	}
}
