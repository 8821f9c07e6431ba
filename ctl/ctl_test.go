package ctl

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// run runs a command and returns its exit code, standard output and standard error.
func run(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, err bytes.Buffer
	code := Main(t.Context(), args, &out, &err)
	return code, out.String(), err.String()
}

// writeTempFile writes a file to a new temporary directory and returns its path.
func writeTempFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// fakeAPI is a fake administration API with a fixed response. It records the latest
// request.
type fakeAPI struct {
	status int
	body   string
	latest *http.Request
}

func (r *fakeAPI) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.latest = req
	w.Header().Set("ETag", `"7"`)
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.body))
}

func serve(t *testing.T, r *fakeAPI) string {
	t.Helper()
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// unreachable is a loopback address on which nothing listens.
const unreachable = "127.0.0.1:1"

// TestExitCodes checks the exit code and the message of each kind of error.
func TestExitCodes(t *testing.T) {
	valid := writeTempFile(t, `{"workspaces":[],"plans":[]}`)
	conflict := serve(t, &fakeAPI{status: 412, body: `{"error":{"code":"conflict","message":"version 9 is current"}}`})
	malformed := serve(t, &fakeAPI{status: 500, body: "oops"})
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{nil, 2, "Usage"},
		{[]string{"nonsense"}, 2, "Usage"},
		{[]string{"-no-such-flag"}, 2, "no-such-flag"},
		{[]string{"config"}, 2, "Usage"},
		{[]string{"config", "check", valid}, 0, "valid: 0 workspaces, 0 plans"},
		{[]string{"config", "check", writeTempFile(t, "{\n\"x\":1}")}, 1, "\n  x (line 2): unknown field"},
		{[]string{"config", "check", "/nonexistent"}, 2, "cannot read the lists"},
		{[]string{"config", "apply", valid}, 2, "-base"},
		{[]string{"-admin", conflict, "config", "apply", "-base", "4", valid}, 1, "lacewingctl: version 9 is current"},
		{[]string{"-admin", malformed, "status"}, 1, "the router answered 500"},
		{[]string{"-admin", unreachable, "config", "get"}, 3, "is not reachable"},
		{[]string{"-admin", unreachable, "timeline"}, 3, "is not reachable"},
		{[]string{"-admin", unreachable, "timeline", "-since", "yesterday"}, 2, "-since must be"},
		{[]string{"-admin", unreachable + "," + conflict, "drain"}, 2, "exactly one address"},
		{[]string{"-admin", "", "status"}, 2, "no address"},
		{[]string{"-admin", unreachable, "-key-file", "/nonexistent", "status"}, 2, "operator key"},
		{[]string{"keys", "host", "-host", "../x", "-ip", "10.0.0.1"}, 2, "-host must be"},
	} {
		code, out, err := run(t, c.args...)
		require.Equal(t, c.code, code, "%v: %s%s", c.args, out, err)
		require.Contains(t, out+err, c.want, "%v", c.args)
	}
}

// TestApplyTriesTheNextAddress checks that apply uses the second address if the first
// one is unreachable, and that it sends the operator key and the base version.
func TestApplyTriesTheNextAddress(t *testing.T) {
	r := &fakeAPI{status: 200, body: `{"version":7}`}
	path := writeTempFile(t, `{"workspaces":[],"plans":[]}`)
	code, out, err := run(t, "-admin", unreachable+","+serve(t, r), "-key-file", writeTempFile(t, "secret\n"), "config", "apply", "-base", "6", path)
	require.Zero(t, code, err)
	require.Equal(t, "applied as version 7\n", out)
	require.Equal(t, "Bearer secret", r.latest.Header.Get("Authorization"))
	require.Equal(t, `"6"`, r.latest.Header.Get("If-Match"))
}

// TestTimelineMerges checks that the events of several routers are printed in order, with
// the times between them.
func TestTimelineMerges(t *testing.T) {
	one := &fakeAPI{status: 200, body: `{"at":{"us":1000},"host":"r1","part":"entry","name":"arrived","request":"q"}
{"at":{"us":3500,"n":1},"host":"r1","part":"upstream","name":"sent","request":"q"}
`}
	two := &fakeAPI{status: 200, body: `{"at":{"us":3500},"host":"r2","part":"cell","name":"granted","request":"q"}` + "\n"}
	addresses := serve(t, one) + "," + unreachable + "," + serve(t, two)
	code, out, err := run(t, "-admin", addresses, "timeline", "-request", "q")
	require.Zero(t, code)
	require.Contains(t, err, "no events from "+unreachable)
	require.Equal(t, "q", one.latest.URL.Query().Get("request"))
	require.Regexp(t, regexp.MustCompile(`(?s)arrived.*2\.5ms +r2 +cell +granted.*0s +r1 +upstream +sent.*total +2\.5ms`), out)
	_, out, _ = run(t, "-admin", addresses, "timeline", "-json")
	require.Equal(t, 3, strings.Count(out, "\n"))
}

// TestKeys checks that the certificates are valid for mutual TLS between routers, that
// other users cannot read the keys, and that keys are not overwritten.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	code, _, err := run(t, "keys", "ca", "-dir", dir)
	require.Zero(t, code, err)
	code, _, err = run(t, "keys", "host", "-dir", dir, "-host", "r1", "-ip", "10.0.0.1")
	require.Zero(t, code, err)
	code, _, _ = run(t, "keys", "ca", "-dir", dir)
	require.Equal(t, 1, code, "the authority was overwritten")
	pair, loadErr := tls.LoadX509KeyPair(filepath.Join(dir, "r1.pem"), filepath.Join(dir, "r1-key.pem"))
	require.NoError(t, loadErr)
	ca, loadErr := os.ReadFile(filepath.Join(dir, "ca.pem"))
	require.NoError(t, loadErr)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(ca))
	for _, name := range []string{"r1", "10.0.0.1"} {
		for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
			_, verifyErr := pair.Leaf.Verify(x509.VerifyOptions{DNSName: name, Roots: roots, KeyUsages: []x509.ExtKeyUsage{use}})
			require.NoError(t, verifyErr)
		}
	}
	info, statErr := os.Stat(filepath.Join(dir, "ca-key.pem"))
	require.NoError(t, statErr)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	_, first, _ := run(t, "keys", "random")
	_, second, _ := run(t, "keys", "random")
	require.NotEqual(t, first, second)
	require.Regexp(t, `^key    [\w-]{43}\nsha256 [0-9a-f]{64}\n$`, first)
}
