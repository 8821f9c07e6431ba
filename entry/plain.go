package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/intent"
	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/ticket"
	"github.com/lacewingshift/lacewingshift/upstream"
)

const (
	// plainTimeout bounds one call to a plain service.
	plainTimeout = 60 * time.Second
	maxKeyBytes  = 128
)

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// plainCall carries one call to a plain service.
type plainCall struct {
	handler    *Handler
	admitted   admitted
	ticket     ticket.Ticket
	call       upstream.PlainCall
	key        string
	idempotent bool
	waited     time.Duration
	// mayHaveRun is set after an attempt whose answer was lost.
	mayHaveRun bool
}

// plain serves /v1/services/{service}/{path...}.
func (h *Handler) plain(w http.ResponseWriter, r *http.Request) {
	id, e := requestID(r)
	if e != nil {
		writeError(w, "", e)
		return
	}
	defer h.flights.begin()()
	a, plan, e := h.admit(w, r, id)
	if e != nil {
		writeError(w, id, e)
		return
	}
	defer a.release()
	c, e := h.newPlainCall(a, plan, r)
	if e != nil {
		writeError(w, id, e)
		return
	}
	answer, e := c.run(r.Context())
	if e != nil {
		writeError(w, id, e)
		return
	}
	c.write(w, answer)
}

func (h *Handler) newPlainCall(a admitted, plan config.Plan, r *http.Request) (*plainCall, *Error) {
	service := r.PathValue("service")
	if e := h.admitService(&a, plan, service); e != nil {
		return nil, e
	}
	if kind, _ := h.Directory.ServiceKind(service); kind != objectapi.ServicePlain {
		return nil, refuse(http.StatusBadRequest, CodeWrongProtocol,
			fmt.Sprintf("%q is a model engine, use /v1/completions", service))
	}
	key := r.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest,
			fmt.Sprintf("%s is longer than %d bytes", headerKey, maxKeyBytes))
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	c := &plainCall{handler: h, admitted: a, ticket: a.ticket(h.Host), idempotent: isIdempotent(r.Method)}
	if !c.idempotent {
		c.key = key
	}
	c.ticket.Idempotent = c.idempotent
	if c.ticket.Hint == 0 {
		c.ticket.Hint = ticket.PlainCallPrice
	}
	c.call = upstream.PlainCall{
		Method: r.Method, Path: path, Header: forwardedHeader(r.Header), Body: a.body, Once: !c.idempotent,
	}
	return c, nil
}

// isIdempotent follows RFC 9110, 9.2.2.
func isIdempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	// The key of the workspace is for this fleet and not for the service.
	forwarded.Del("Authorization")
	return forwarded
}

// run schedules the call and runs it, again on another upstream where that is
// allowed.
func (c *plainCall) run(ctx context.Context) (upstream.PlainAnswer, *Error) {
	h := c.handler
	h.retries.request()
	h.record("accepted", c.admitted, "", c.admitted.service)
	for attempt := 1; ; attempt++ {
		grant, err := awaitGrant(ctx, h.Scheduler.Submit(c.ticket))
		if err != nil {
			h.Scheduler.Cancel(c.ticket.ID)
			e := refuse(http.StatusServiceUnavailable, CodeCanceled, "the caller left before the call ran")
			return upstream.PlainAnswer{}, c.certain(e)
		}
		if grant.Refused {
			return upstream.PlainAnswer{}, c.certain(refusal(grant))
		}
		c.waited = time.Since(c.admitted.arrived)
		h.record("granted", c.admitted, grant.Upstream.ID, fmt.Sprintf("waited %d ms", c.waited.Milliseconds()))
		answer, e, again := c.runOnce(grant.Upstream)
		if e == nil {
			h.record("completed", c.admitted, grant.Upstream.ID, "")
			return answer, nil
		}
		e = c.certain(e)
		c.mayHaveRun = c.mayHaveRun || !e.NotRun
		h.record("run_failed", c.admitted, grant.Upstream.ID, e.Message)
		if !again || attempt >= maxAttempts || !h.retries.take() {
			return upstream.PlainAnswer{}, e
		}
	}
}

// certain takes "not run" back when an earlier attempt may have run.
func (c *plainCall) certain(e *Error) *Error {
	if c.mayHaveRun {
		e.NotRun = false
	}
	return e
}

// runOnce runs the call on one upstream. The call goes on when the caller
// leaves, so that its outcome can be recorded. It reports whether another
// attempt is allowed after an error.
func (c *plainCall) runOnce(host objectapi.Host) (upstream.PlainAnswer, *Error, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), plainTimeout)
	defer cancel()
	c.call.Address = host.Address
	if c.key == "" {
		return c.send(ctx)
	}
	key := intent.Key{Workspace: c.admitted.workspace.Name, Service: c.admitted.service, Key: c.key}
	attempt, err := c.handler.Records.Begin(ctx, key, c.digest())
	if err != nil {
		c.handler.Scheduler.Finish(c.ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
		answer, e := recordedAnswer(err)
		return answer, e, false
	}
	return c.sendRecorded(ctx, attempt)
}

// recordedAnswer returns the answer to a call whose record could not be begun:
// the stored outcome of an earlier attempt, or an error.
func recordedAnswer(err error) (upstream.PlainAnswer, *Error) {
	var done *intent.Done
	switch {
	case errors.As(err, &done):
		return storedAnswer(done), nil
	case eris.Is(err, intent.ErrRunning):
		return upstream.PlainAnswer{}, fail(http.StatusConflict, CodeRunning,
			"a call with this key is running").after(time.Second)
	case eris.Is(err, intent.ErrKeyReused):
		return upstream.PlainAnswer{}, refuse(http.StatusUnprocessableEntity, CodeKeyReused,
			"this key was used for another call")
	case eris.Is(err, intent.ErrUnavailable), eris.Is(err, intent.ErrFull):
		return upstream.PlainAnswer{}, refuse(http.StatusServiceUnavailable, CodeRecordsUnavailable,
			"the call cannot be recorded now").after(time.Second)
	default:
		return upstream.PlainAnswer{}, fail(http.StatusBadGateway, CodeOutcomeUnknown,
			"a call with this key was started and its outcome is not known")
	}
}

// digest identifies the call, so that a key cannot stand for two calls.
func (c *plainCall) digest() []byte {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n", c.call.Method, c.call.Path)
	sum.Write(c.call.Body)
	return sum.Sum(nil)
}

// send runs a call without a record.
func (c *plainCall) send(ctx context.Context) (upstream.PlainAnswer, *Error, bool) {
	answer, err := c.measure(ctx)
	switch {
	case err == nil:
		return answer, nil, false
	case eris.Is(err, upstream.ErrNotSent), eris.Is(err, upstream.ErrRefused):
		return answer, refuse(http.StatusBadGateway, CodeUpstreamFailed, "the upstream did not take the call").after(time.Second), true
	case c.idempotent:
		return answer, fail(http.StatusBadGateway, CodeUpstreamFailed, "the answer of the upstream was lost").after(time.Second), true
	default:
		return answer, fail(http.StatusBadGateway, CodeOutcomeUnknown, "the answer of the upstream was lost, the call may have run"), false
	}
}

// sendRecorded runs a call under its record and stores the outcome.
func (c *plainCall) sendRecorded(ctx context.Context, attempt intent.Attempt) (upstream.PlainAnswer, *Error, bool) {
	if !attempt.Valid(time.Now()) {
		c.handler.Scheduler.Finish(c.ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
		c.noteRecord(attempt.Release(ctx))
		return upstream.PlainAnswer{}, refuse(http.StatusServiceUnavailable, CodeRecordsUnavailable,
			"the router was paused before the call could be sent").after(time.Second), false
	}
	answer, e, again := c.send(ctx)
	if again {
		// The next attempt needs the record, so this one has to be gone first.
		c.noteRecord(attempt.Release(ctx))
		return answer, e, true
	}
	c.recordLater(attempt, answer, e)
	return answer, e, false
}

// recordLater stores the outcome while the caller gets its answer already. The
// wait for a shared write would otherwise add up to 250 ms to each call. Until
// then a second attempt is told that the call is running.
func (c *plainCall) recordLater(attempt intent.Attempt, answer upstream.PlainAnswer, e *Error) {
	end := c.handler.flights.begin()
	go func() {
		defer end()
		ctx, cancel := context.WithTimeout(context.Background(), plainTimeout)
		defer cancel()
		switch {
		case e == nil:
			c.noteRecord(attempt.Finish(ctx, outcomeOf(answer)))
		case e.NotRun:
			c.noteRecord(attempt.Release(ctx))
		default:
			c.noteRecord(attempt.Unknown(ctx))
		}
	}()
}

func (c *plainCall) noteRecord(err error) {
	if err != nil {
		c.handler.record("record_not_updated", c.admitted, "", err.Error())
	}
}

func (c *plainCall) measure(ctx context.Context) (upstream.PlainAnswer, error) {
	started := time.Now()
	answer, err := c.handler.Client.Call(ctx, c.call)
	sample := dispatch.Sample{FirstToken: time.Since(started)}
	outcome := dispatch.OutcomeDone
	used := ticket.Usage{PlainCalls: 1}
	if err != nil {
		outcome = dispatch.OutcomeFailed
		sample = dispatch.Sample{Failed: true}
	}
	if eris.Is(err, upstream.ErrNotSent) || eris.Is(err, upstream.ErrRefused) {
		used = ticket.Usage{}
	}
	c.handler.Scheduler.Finish(c.ticket.ID, used, outcome, sample)
	return answer, err
}

func outcomeOf(answer upstream.PlainAnswer) intent.Outcome {
	return intent.Outcome{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
	}
}

func storedAnswer(done *intent.Done) upstream.PlainAnswer {
	header := done.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerStored, "true")
	if done.Truncated {
		header.Set(headerTruncated, "true")
	}
	return upstream.PlainAnswer{Status: done.Status, Header: header, Body: done.Body}
}

func (c *plainCall) write(w http.ResponseWriter, answer upstream.PlainAnswer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Set(headerRequestID, c.admitted.id)
	header.Set(headerWaited, strconv.FormatInt(c.waited.Milliseconds(), 10))
	header.Set(headerEntry, c.handler.Host)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	limitWrite(w)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
