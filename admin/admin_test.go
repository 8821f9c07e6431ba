package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/event"
)

// fakeStore is a Store in memory that keeps only the current version.
type fakeStore struct {
	lists   config.Lists
	version int64
	author  string // of the latest change
}

func (s *fakeStore) Get(context.Context) (config.Lists, int64, error) {
	return s.lists, s.version, nil
}

func (s *fakeStore) Apply(_ context.Context, lists config.Lists, base int64, author string) (int64, error) {
	if base != s.version {
		return 0, &config.ConflictError{Based: base, Current: s.version}
	}
	s.lists, s.author = lists, author
	s.version++
	return s.version, nil
}

func (s *fakeStore) History(context.Context) ([]config.Change, error) {
	return nil, config.ErrUnavailable
}

func (s *fakeStore) Version(context.Context, int64) (config.Lists, error) {
	return config.Lists{}, config.ErrNoVersion
}

type fakeStatus struct{}

func (fakeStatus) ConfigStatus(context.Context) (ConfigStatus, error) {
	return ConfigStatus{Highest: 3, Live: 2, Lagging: []string{"r2"}}, nil
}

func (fakeStatus) Status(context.Context) (any, error) { return map[string]int{"running": 4}, nil }

// request sends a request with the key of the operator "ana". The strings in header are
// names and values in turn.
func request(h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer operator-key")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// newTestHandler returns a handler with its store and timeline, and the number of calls
// of Drain.
func newTestHandler() (*fakeStore, *event.Log, *int, http.Handler) {
	sum := sha256.Sum256([]byte("operator-key"))
	store, drains := &fakeStore{version: 4}, new(int)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	log := event.NewLog("r1", 10, event.NewClock(func() time.Time { return now }))
	h := New(Options{
		Store: store, Status: fakeStatus{}, Timeline: log, Drain: func() { *drains++ },
		Operators: []Operator{{"other", strings.Repeat("0", 64)}, {"ana", hex.EncodeToString(sum[:])}},
	})
	return store, log, drains, h
}

// TestPutConfig checks that a change is rejected without an operator key or a base
// version, if the base version is not current, or if the lists are invalid, and that a
// change is recorded with the operator's name.
func TestPutConfig(t *testing.T) {
	store, _, _, h := newTestHandler()
	const body = `{"plans":[{"name":"p","weight":1,"uses":[]}],"workspaces":[]}`
	for _, c := range []struct {
		header []string
		body   string
		status int
		want   string
	}{
		{[]string{"Authorization", "Bearer no"}, body, 401, CodeUnauthorized},
		{[]string{"Authorization", "operator-key", "If-Match", `"4"`}, body, 401, CodeUnauthorized},
		{nil, body, 428, CodeIfMatchRequired},
		{[]string{"If-Match", "*"}, body, 428, CodeIfMatchRequired},
		{[]string{"If-Match", `"3"`}, body, 412, "version 4 is current"},
		{[]string{"If-Match", `"4"`}, `{"x":1}`, 422, `"faults":[{"path":"x","line":1,"message":"unknown field"}]`},
		{[]string{"If-Match", `"4"`}, strings.Repeat(" ", maxBodyBytes+1), 413, CodeTooLarge},
		{[]string{"If-Match", `"4"`}, body, 200, `{"version":5}`},
	} {
		w := request(h, "PUT", "/v1/config", c.body, c.header...)
		require.Equal(t, c.status, w.Code, w.Body)
		require.Contains(t, w.Body.String(), c.want)
	}
	require.Equal(t, "ana", store.author)
	w := request(h, "GET", "/v1/config", "")
	require.Equal(t, `"5"`, w.Header().Get("ETag"))
	lists, err := config.Parse(w.Body.Bytes())
	require.NoError(t, err)
	require.Equal(t, "p", lists.Plans[0].Name)
}

// TestResources checks the responses of the other resources, and that they need an
// operator key.
func TestResources(t *testing.T) {
	_, log, drains, h := newTestHandler()
	log.Add(event.Event{Part: "cell", Name: "granted", Request: "q1"})
	log.Add(event.Event{Part: "cell", Name: "granted", Request: "q2"})
	for _, c := range []struct {
		method, path string
		status       int
		want         string
	}{
		{"POST", "/v1/config/check", 422, "ends too early"},
		{"GET", "/v1/config/history", 503, CodeUnavailable},
		{"GET", "/v1/config/history/7", 404, CodeNotFound},
		{"GET", "/v1/config/history/x", 400, CodeBadRequest},
		{"GET", "/v1/config/status", 200, `"lagging":["r2"]`},
		{"GET", "/v1/status", 200, `{"running":4}`},
		{"GET", "/v1/timeline?since=now", 400, "since must be a time"},
		{"GET", "/v1/nothing", 404, CodeNotFound},
		{"POST", "/v1/drain", 202, "true"},
	} {
		w := request(h, c.method, c.path, "")
		require.Equal(t, c.status, w.Code, "%s %s", c.path, w.Body)
		require.Contains(t, w.Body.String(), c.want)
		if c.path != "/v1/nothing" && c.path != "/v1/config/check" {
			require.Equal(t, 401, request(h, c.method, c.path, "", "Authorization", "").Code, c.path)
		}
	}
	require.Equal(t, 1, *drains)
	w := request(h, "GET", "/v1/timeline?request=q2", "")
	require.Equal(t, 1, strings.Count(w.Body.String(), "\n"))
	require.Contains(t, w.Body.String(), `"request":"q2"`)
}
