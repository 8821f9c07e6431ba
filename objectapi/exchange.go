package objectapi

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// answer is a complete HTTP response.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) object(name string) (Object, error) {
	version, err := parseVersion(a.header.Get("ETag"))
	if err != nil {
		return Object{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	return Object{Name: name, Version: version, Value: a.body}, nil
}

// roundTrip makes one HTTP exchange. A failed write is ErrOutcomeUnknown as soon
// as a connection was assigned to it: the transport writes from a goroutine of
// its own, so a later mark could be read before the bytes leave.
func (c *Client) roundTrip(ctx context.Context, timeout time.Duration, method, target string, header http.Header, body []byte) (answer, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, transportError(method, connected, err)
	}
	defer response.Body.Close()
	data, err := readBody(response.Body, maxHostListBytes)
	if err != nil && (method != http.MethodPut || response.StatusCode >= http.StatusMultipleChoices) {
		return answer{}, transportError(method, connected, err)
	}
	return answer{status: response.StatusCode, header: response.Header, body: data}, nil
}

func transportError(method string, connected bool, err error) error {
	if method == http.MethodPut && connected {
		return eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

func readError(a answer) error {
	switch a.status {
	case http.StatusNotFound:
		return eris.Wrap(ErrNotFound, "object API answered")
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(a.header)}
	default:
		return eris.Wrapf(ErrUnavailable, "object API answered status %d", a.status)
	}
}

// writeError converts the status of a refused write. Server errors other than
// 503 do not tell whether the write took effect.
func writeError(a answer) error {
	switch a.status {
	case http.StatusPreconditionFailed:
		return eris.Wrap(ErrConflict, "object API answered")
	case http.StatusRequestEntityTooLarge:
		return eris.Wrap(ErrTooLarge, "object API answered")
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(a.header)}
	}
	if a.status >= http.StatusInternalServerError && a.status != http.StatusServiceUnavailable {
		return eris.Wrapf(ErrOutcomeUnknown, "object API answered status %d", a.status)
	}
	return eris.Wrapf(ErrUnavailable, "object API answered status %d", a.status)
}

// FormatVersion returns the entity tag of a version.
func FormatVersion(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}

func parseVersion(tag string) (int64, error) {
	version, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil || version <= 0 {
		return 0, eris.Errorf("entity tag %q is not a version", tag)
	}
	return version, nil
}

// retryAfter reads whole seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
