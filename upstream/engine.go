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
	cancelTimeout  = 2 * time.Second
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
// the stream at the engine. Errors: ErrNotSent, ErrRefused, ErrResponseLost, ErrStalled,
// ErrStreamGone, the error of sink, ctx.Err().
func (c *Client) Stream(ctx context.Context, run Run, sink func(Chunk) error) error {
	body, err := run.request()
	if err != nil {
		return err
	}
	f := &streamReader{client: c, run: run, last: run.After, sink: sink}
	err = f.connect(ctx, func(ctx context.Context) (*http.Request, error) {
		endpoint := "http://" + run.Address + "/v1/completions"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		return request, nil
	})
	return f.resume(ctx, err)
}

// Attach reads the stream of a run that another router started. Errors: as Stream.
func (c *Client) Attach(ctx context.Context, run Run, sink func(Chunk) error) error {
	f := &streamReader{client: c, run: run, last: run.After, sink: sink}
	return f.resume(ctx, f.connect(ctx, f.resumeRequest))
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
func (f *streamReader) resume(ctx context.Context, err error) error {
	for range resumeAttempts {
		if !eris.Is(err, ErrResponseLost) {
			break
		}
		if waitErr := pause.For(ctx, resumeInterval); waitErr != nil {
			return waitErr
		}
		next := f.connect(ctx, f.resumeRequest)
		if eris.Is(next, ErrNotSent) {
			// The run has started, so a failed reconnection does not mean that the
			// request was never sent.
			next = eris.Wrap(ErrResponseLost, next.Error())
		}
		err = next
	}
	var fromSink sinkError
	if errors.As(err, &fromSink) {
		return fromSink.error
	}
	return err
}

// resumeRequest returns the request for the stream after the last chunk.
func (f *streamReader) resumeRequest(ctx context.Context) (*http.Request, error) {
	endpoint := fmt.Sprintf("http://%s/v1/streams/%s?after=%d", f.run.Address, url.PathEscape(f.run.ID), f.last)
	return http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
}

// connect makes one connection and reads the stream until it ends.
func (f *streamReader) connect(ctx context.Context, build func(context.Context) (*http.Request, error)) error {
	connection, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := build(connection)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	stall := f.stallTimer(cancel)
	defer stall.Stop()
	response, err := f.client.pooled.Do(request)
	if err != nil {
		return f.sendError(ctx, connection, err)
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	err = f.read(response.Body, func() { f.resetStall(stall) })
	if eris.Is(err, ErrResponseLost) {
		return f.connectionError(ctx, connection, err)
	}
	return err
}

// connectionError returns why an established connection ended.
func (f *streamReader) connectionError(ctx, connection context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if context.Cause(connection) == ErrStalled {
		return ErrStalled
	}
	return eris.Wrap(ErrResponseLost, err.Error())
}

func (f *streamReader) stallTimer(cancel context.CancelCauseFunc) *time.Timer {
	if f.run.StallTimeout == 0 {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(f.run.StallTimeout, func() { cancel(ErrStalled) })
}

func (f *streamReader) resetStall(timer *time.Timer) {
	if f.run.StallTimeout > 0 {
		timer.Reset(f.run.StallTimeout)
	}
}

// sendError classifies an error that occurred before any response. Only a failed dial
// proves that nothing was sent.
func (f *streamReader) sendError(ctx, connection context.Context, err error) error {
	if isDialError(err) {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return f.connectionError(ctx, connection, err)
}

func statusError(response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusGone:
		return eris.Wrapf(ErrStreamGone, "status %d: %s", response.StatusCode, detail)
	default:
		return eris.Wrapf(ErrRefused, "status %d: %s", response.StatusCode, detail)
	}
}

// read passes the events of one connection to the sink. It returns nil after the
// end marker of a complete stream, and ErrResponseLost if the connection ends before the
// marker.
func (f *streamReader) read(body io.Reader, alive func()) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxChunk)
	var id int64
	for scanner.Scan() {
		alive()
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
			return f.endError()
		}
		if err := f.deliver(id, data); err != nil {
			return err
		}
	}
	return eris.Wrap(ErrResponseLost, "stream ended without [DONE]")
}

// endError returns nil if the response is complete, and ErrStreamGone if the run was
// canceled at the engine.
func (f *streamReader) endError() error {
	if f.complete {
		return nil
	}
	return eris.Wrap(ErrStreamGone, "the run was canceled at the engine")
}

// finishStopped is the finish reason of a run that was canceled.
const finishStopped = "stopped"

// deliver decodes an event and passes it to the sink, unless it was passed before.
func (f *streamReader) deliver(id int64, data []byte) error {
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
		f.complete = true
	}
	if id <= f.last {
		return nil // repeated after a reconnection
	}
	if id != f.last+1 {
		return eris.Wrapf(ErrResponseLost, "event %d follows event %d", id, f.last)
	}
	f.last = id
	if err := f.sink(Chunk{ID: id, Data: bytes.Clone(data), Usage: chunk.Usage}); err != nil {
		return sinkError{err}
	}
	return nil
}
