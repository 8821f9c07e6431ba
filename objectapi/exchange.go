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

// httpResponse is a complete HTTP response.
type httpResponse struct {
	status int
	header http.Header
	body   []byte
}

func (r httpResponse) object(name string) (Object, error) {
	version, err := parseVersion(r.header.Get("ETag"))
	if err != nil {
		return Object{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	return Object{Name: name, Version: version, Value: r.body}, nil
}

// roundTrip sends one HTTP request and reads the response. The error of a write that
// fails after it got a connection is ErrOutcomeUnknown. Later trace events are no proof
// that nothing was sent: the transport writes in its own goroutine, which may still
// send bytes after the event was checked.
func (c *Client) roundTrip(ctx context.Context, timeout time.Duration, method, target string, header http.Header, body []byte) (httpResponse, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return httpResponse{}, eris.Wrap(ErrUnavailable, err.Error())
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return httpResponse{}, transportError(method, connected, err)
	}
	defer response.Body.Close()
	data, err := readBody(response.Body, maxBodyBytes)
	if err != nil && (method != http.MethodPut || response.StatusCode >= http.StatusMultipleChoices) {
		return httpResponse{}, transportError(method, connected, err)
	}
	return httpResponse{status: response.StatusCode, header: response.Header, body: data}, nil
}

func transportError(method string, connected bool, err error) error {
	if method == http.MethodPut && connected {
		return eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// readError converts the status of a failed read to an error.
func readError(r httpResponse) error {
	switch r.status {
	case http.StatusNotFound:
		return eris.Wrap(ErrNotFound, "object API returned status 404")
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(r.header)}
	default:
		return eris.Wrapf(ErrUnavailable, "object API returned status %d", r.status)
	}
}

// writeError converts the status of a failed write to an error. After a server error
// other than 503, it is not known whether the write took effect.
func writeError(r httpResponse) error {
	switch r.status {
	case http.StatusPreconditionFailed:
		return eris.Wrap(ErrConflict, "object API returned status 412")
	case http.StatusRequestEntityTooLarge:
		return eris.Wrap(ErrTooLarge, "object API returned status 413")
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(r.header)}
	}
	if r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable {
		return eris.Wrapf(ErrOutcomeUnknown, "object API returned status %d", r.status)
	}
	return eris.Wrapf(ErrUnavailable, "object API returned status %d", r.status)
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

// retryAfter returns the Retry-After header, zero if it is missing or not a number of
// seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
