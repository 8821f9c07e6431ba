package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/ticket"
)

const (
	// resumeAttempts and resumeInterval make reconnection attempts end within the
	// 10 s for which engines keep a stream without a reader.
	resumeAttempts = 8
	resumeInterval = 250 * time.Millisecond
	cancelTimeout  = 2 * time.Second // of one Cancel call
	// maxErrorBody is the maximum number of bytes read from an engine's error
	// response.
	maxErrorBody = 4 << 10
)

// Run is one run of a completion request on one engine.
type Run struct {
	// Address is the IP:port of the engine.
	Address string
	// ID identifies the stream at the engine. When a stopped request continues, it
	// gets a new run with a new ID.
	ID string
	// Body is the caller's JSON object.
	Body map[string]json.RawMessage
	// After is the number of tokens that earlier runs have generated.
	After int64
	// StallTimeout is the maximum time without an event, after which the run fails
	// with ErrStalled; zero for no limit.
	StallTimeout time.Duration
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	// ID is the index of the token in the whole response, starting at 1.
	ID int64
	// Data is the JSON document of the event.
	Data []byte
	// Usage is the usage of this run so far.
	Usage ticket.Usage
}

// Stream starts the run and calls sink for each chunk, in order, without gaps or
// repeats, until the response is complete. If the connection breaks, it reconnects to
// the stream at the engine. Errors: ErrNotSent, ErrRefused, ErrFailed, ErrResponseLost,
// ErrStalled, ErrStreamGone, the error of sink, ctx.Err().
func (c *Client) Stream(ctx context.Context, run Run, sink func(Chunk) error) error {
	body, err := run.request()
	if err != nil {
		return err
	}
	r := &streamReader{client: c, run: run, last: run.After, sink: sink}
	err = r.connect(ctx, func(ctx context.Context) (*http.Request, error) {
		endpoint := "http://" + run.Address + "/v1/completions"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		return request, nil
	})
	return r.resume(ctx, err)
}

// Attach reads the stream of a run that another router started. Errors: as Stream.
func (c *Client) Attach(ctx context.Context, run Run, sink func(Chunk) error) error {
	r := &streamReader{client: c, run: run, last: run.After, sink: sink}
	return r.resume(ctx, r.connect(ctx, r.resumeRequest))
}

// Cancel ends a run at the engine. Errors: ErrNotSent, ErrResponseLost.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	endpoint := fmt.Sprintf("http://%s/v1/streams/%s/cancel", address, url.PathEscape(id))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, nil)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	response, err := c.pooled.Do(request)
	if err != nil {
		return eris.Wrap(ErrResponseLost, err.Error())
	}
	return response.Body.Close()
}

// request returns the body of the request to the engine: the caller's, with the
// fields that make the stream resumable.
func (r Run) request() ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.Body)+3)
	for name, value := range r.Body {
		fields[name] = value
	}
	fields["request_id"], _ = json.Marshal(r.ID)
	fields["resume_tokens"] = json.RawMessage(strconv.FormatInt(r.After, 10))
	fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return body, nil
}

// streamReader reads the stream of one run over one or more connections.
type streamReader struct {
	client *Client
	run    Run
	last   int64 // ID of the last chunk passed to sink
	// complete is set once an event had a finish reason.
	complete bool
	sink     func(Chunk) error
}

// sinkError marks an error returned by the sink, which ends the run.
type sinkError struct{ error }

func (e sinkError) Unwrap() error { return e.error }

// resume reconnects as long as the connection breaks and the engine still has the
// stream, up to resumeAttempts times. The argument err is the result of the first
// connection.
func (r *streamReader) resume(ctx context.Context, err error) error {
	for range resumeAttempts {
		if !eris.Is(err, ErrResponseLost) {
			break
		}
		if waitErr := pause.For(ctx, resumeInterval); waitErr != nil {
			return waitErr
		}
		nextErr := r.connect(ctx, r.resumeRequest)
		if eris.Is(nextErr, ErrNotSent) || eris.Is(nextErr, ErrRefused) {
			// The run has started, so a failed reconnection does not mean that the
			// request was never sent or run.
			nextErr = eris.Wrap(ErrResponseLost, nextErr.Error())
		}
		err = nextErr
	}
	var fromSink sinkError
	if errors.As(err, &fromSink) {
		return fromSink.error
	}
	return err
}

// resumeRequest returns the request for the stream after the last chunk.
func (r *streamReader) resumeRequest(ctx context.Context) (*http.Request, error) {
	endpoint := fmt.Sprintf("http://%s/v1/streams/%s?after=%d", r.run.Address, url.PathEscape(r.run.ID), r.last)
	return http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
}

// connect sends the request that newRequest returns and reads the stream until the
// connection ends.
func (r *streamReader) connect(ctx context.Context, newRequest func(context.Context) (*http.Request, error)) error {
	connCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := newRequest(connCtx)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	stall := r.stallTimer(cancel)
	defer stall.Stop()
	response, err := r.client.pooled.Do(request)
	if err != nil {
		return r.sendError(ctx, connCtx, err)
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	err = r.read(response.Body, func() { r.resetStall(stall) })
	if eris.Is(err, ErrResponseLost) {
		return r.connectionError(ctx, connCtx, err)
	}
	return err
}

// connectionError returns why an established connection ended: because ctx ended,
// because the stall timer canceled connCtx, or else because of err.
func (r *streamReader) connectionError(ctx, connCtx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if context.Cause(connCtx) == ErrStalled {
		return ErrStalled
	}
	return eris.Wrap(ErrResponseLost, err.Error())
}

// stallTimer returns a timer that cancels the connection with ErrStalled. Without a
// stall timeout, the timer has no effect.
func (r *streamReader) stallTimer(cancel context.CancelCauseFunc) *time.Timer {
	if r.run.StallTimeout == 0 {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(r.run.StallTimeout, func() { cancel(ErrStalled) })
}

func (r *streamReader) resetStall(timer *time.Timer) {
	if r.run.StallTimeout > 0 {
		timer.Reset(r.run.StallTimeout)
	}
}

// sendError classifies an error that occurred before any response. Only a failed dial
// proves that nothing was sent.
func (r *streamReader) sendError(ctx, connCtx context.Context, err error) error {
	if isDialError(err) {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return r.connectionError(ctx, connCtx, err)
}

// statusError returns the error of a response whose status is not 200.
func statusError(response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	switch {
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone:
		return eris.Wrapf(ErrStreamGone, "status %d: %s", response.StatusCode, detail)
	case response.Header.Get(headerNotRun) != "":
		return eris.Wrapf(ErrRefused, "status %d: %s", response.StatusCode, detail)
	default:
		return eris.Wrapf(ErrFailed, "status %d: %s", response.StatusCode, detail)
	}
}

// read passes the events of one connection to the sink, and calls onLine for each
// line. It returns nil after the end marker of a complete stream, and
// ErrResponseLost if the connection ends before the marker.
func (r *streamReader) read(body io.Reader, onLine func()) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxChunk)
	var id int64
	for scanner.Scan() {
		onLine()
		line := scanner.Bytes()
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			return r.endError()
		}
		if err := r.deliver(id, data); err != nil {
			return err
		}
	}
	return eris.Wrap(ErrResponseLost, "stream ended without [DONE]")
}

// endError returns nil if the response is complete, and ErrStreamGone if the run was
// canceled at the engine.
func (r *streamReader) endError() error {
	if r.complete {
		return nil
	}
	return eris.Wrap(ErrStreamGone, "the run was canceled at the engine")
}

// finishStopped is the finish reason of a run that was canceled.
const finishStopped = "stopped"

// deliver decodes an event and passes it to the sink, unless it was passed before.
func (r *streamReader) deliver(id int64, data []byte) error {
	var chunk struct {
		Usage        ticket.Usage `json:"usage"`
		FinishReason string       `json:"finish_reason"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return eris.Wrap(ErrResponseLost, "event is not valid JSON")
	}
	if chunk.FinishReason == finishStopped {
		return nil
	}
	if chunk.FinishReason != "" {
		r.complete = true
	}
	if id <= r.last {
		return nil // repeated after a reconnection
	}
	if id != r.last+1 {
		return eris.Wrapf(ErrResponseLost, "event %d follows event %d", id, r.last)
	}
	r.last = id
	if err := r.sink(Chunk{ID: id, Data: bytes.Clone(data), Usage: chunk.Usage}); err != nil {
		return sinkError{err}
	}
	return nil
}
