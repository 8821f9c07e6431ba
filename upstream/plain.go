package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// PlainCall is one call to a plain service.
type PlainCall struct {
	// Address is the IP:port of the upstream.
	Address string
	Method  string
	// Path is the path with the query. It starts with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// NoRetry prevents net/http from sending the call a second time when a reused
	// connection breaks.
	NoRetry bool
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends the call and waits for the complete response. Errors: ErrNotSent,
// ErrRefused, ErrFailed and ErrResponseLost (the call may have run), ErrTooLarge (it ran).
func (c *Client) Call(ctx context.Context, call PlainCall) (PlainResponse, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + call.Address + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return PlainResponse{}, eris.Wrap(ErrNotSent, err.Error())
	}
	request.Header = call.Header.Clone()
	client := c.pooled
	if call.NoRetry {
		request.GetBody = nil
		client = c.unpooled
	}
	response, err := client.Do(request)
	if err != nil {
		if !connected.Load() {
			return PlainResponse{}, eris.Wrap(ErrNotSent, err.Error())
		}
		return PlainResponse{}, eris.Wrap(ErrResponseLost, err.Error())
	}
	defer response.Body.Close()
	return readPlain(response)
}

func readPlain(response *http.Response) (PlainResponse, error) {
	switch {
	case response.Header.Get(headerNotRun) != "":
		return PlainResponse{}, eris.Wrapf(ErrRefused, "status %d", response.StatusCode)
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return PlainResponse{}, eris.Wrapf(ErrFailed, "status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxPlainResponse+1))
	if err != nil {
		return PlainResponse{}, eris.Wrap(ErrResponseLost, err.Error())
	}
	if len(body) > MaxPlainResponse {
		return PlainResponse{}, ErrTooLarge
	}
	return PlainResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
