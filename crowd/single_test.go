package crowd

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
)

// fillerField pads a head; its name and ends take fillerRest bytes.
const (
	fillerField = "filler:%s\r\n"
	fillerRest  = len("filler:\r\n")
)

// Limits on crowds must not refuse a single request at the limits of the configuration. One
// whose fields have no space after the colon was counted as larger than it is.
func TestSingleRequestsAtTheLimitsAreServed(t *testing.T) {
	r := newRouter(t, nil)
	body := strings.Repeat("x", maxBody)
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)
	fields := onRoute.head + shortFields()
	fields += fmt.Sprintf(fillerField, strings.Repeat("x", maxHead-len(fields)-fillerRest-len(framed)))
	for name, text := range map[string]string{
		"head":            onRoute.line + fields + framed + body,
		"body in a piece": onRoute.line + onRoute.head + framed + body,
		"body in chunks":  onRoute.line + onRoute.head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", maxBody) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", r.CallerAddress())
			require.NoError(t, err)
			defer connection.Close()
			require.NoError(t, connection.SetDeadline(time.Now().Add(answerLimit)))
			go func() { _, _ = io.WriteString(connection, text) }() // an error shows in the answer
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			answer, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode, string(answer))
		})
	}
}
