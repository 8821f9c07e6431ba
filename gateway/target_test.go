package gateway

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An upstream must get the target of a request as the caller sent it. A path that begins
// with two slashes became a host and another path.
func TestTargetReachesTheUpstreamUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "/a", "/a?", "/a?b=%20c?d", "/a%2Fb", "/a//b", "/a;b=c,d:e@f!$&'()*+[]", "/\"|^",
		"//", "//archive/x?a=1", "//archive", "//archive/?", "///a", "//a%2fb?c=//d", "//user@host:80/x", "//%41",
	} {
		u, err := upstreamURL(target)
		require.NoError(t, err, target)
		u.Host = "10.0.0.1:80"
		request := &http.Request{Method: http.MethodPost, URL: u, Host: "site.example", Header: http.Header{}}
		var written bytes.Buffer
		require.NoError(t, request.Write(&written))
		line, err := written.ReadString('\n')
		require.NoError(t, err)
		assert.Equal(t, "POST "+target+" HTTP/1.1\r\n", line)
		received, err := http.ReadRequest(bufio.NewReader(bytes.NewBufferString(line + written.String())))
		require.NoError(t, err, target)
		assert.Equal(t, "site.example", received.Host, target)
	}
}

// A target that cannot be sent on as it is must be rejected, not changed.
func TestTargetThatCannotBeSentOnIsRejected(t *testing.T) {
	_, err := upstreamURL("//a\"b")
	assert.ErrorIs(t, err, errTarget)
}
