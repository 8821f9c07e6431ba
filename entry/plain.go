package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
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
	// plainTimeout limits one call to a plain service.
	plainTimeout           = 60 * time.Second
	maxIdempotencyKeyBytes = 128
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// plainCall executes one call to a plain service.
type plainCall struct {
	handler        *Handler
	request        request
	ticket         ticket.Ticket
	call           upstream.PlainCall
	idempotencyKey string        // empty if the call needs no record
	idempotent     bool          // may be repeated, according to its method
	waited         time.Duration // from arrival until the latest grant
	// mayHaveRun is set after an attempt that ran or may have run.
	mayHaveRun bool
}

// servicesPath is the begin of the paths of calls to plain services.
const servicesPath = "/v1/services/"

// plain serves /v1/services/{service}/{path...}.
func (h *Handler) plain(w http.ResponseWriter, r *http.Request) {
	id, e := requestID(r)
	if e != nil {
		writeError(w, "", e)
		return
	}
	defer h.requestTracker.begin()()
	req, plan, e := h.admit(w, r, id)
	if e != nil {
		writeError(w, id, e)
		return
	}
	defer req.release()
	c, e := h.newPlainCall(req, plan, r)
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

func (h *Handler) newPlainCall(req request, plan config.Plan, r *http.Request) (*plainCall, *Error) {
	service := r.PathValue("service")
	if e := h.admitService(&req, plan, service); e != nil {
		return nil, e
	}
	if kind, _ := h.Directory.ServiceKind(service); kind != objectapi.ServicePlain {
		return nil, notRunError(http.StatusBadRequest, CodeWrongProtocol,
			fmt.Sprintf("%q is a model engine, use /v1/completions", service))
	}
	idempotencyKey := r.Header.Get(headerIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, notRunError(http.StatusBadRequest, CodeBadRequest,
			fmt.Sprintf("%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes))
	}
	// PathValue is decoded, so that escapes would become separators.
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPath), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	c := &plainCall{handler: h, request: req, ticket: req.ticket(h.Host), idempotent: isIdempotent(r.Method)}
	if !c.idempotent {
		c.idempotencyKey = idempotencyKey
	}
	c.ticket.Idempotent = c.idempotent
	if c.ticket.Hint == 0 {
		c.ticket.Hint = ticket.PlainCallPrice
	}
	c.call = upstream.PlainCall{
		Method: r.Method, Path: path, Header: forwardedHeader(r.Header), Body: req.body, NoRetry: !c.idempotent,
	}
	return c, nil
}

// isIdempotent reports whether calls with this method may be repeated (RFC 9110,
// section 9.2.2).
func isIdempotent(method string) bool {
	return method != http.MethodPost && method != http.MethodPatch
}

func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	// The key authenticates the workspace to the router. The service must not get
	// it.
	forwarded.Del("Authorization")
	return forwarded
}

// run schedules and executes the call. It retries a failed attempt where that is
// allowed.
func (c *plainCall) run(ctx context.Context) (upstream.PlainResponse, *Error) {
	h := c.handler
	h.retries.addRequest()
	h.recordEvent("accepted", c.request, "", c.request.service)
	for attempt := 1; ; attempt++ {
		grant, err := awaitGrant(ctx, h.Scheduler.Submit(c.ticket))
		if err != nil {
			h.Scheduler.Cancel(c.ticket.ID)
			e := notRunError(http.StatusServiceUnavailable, CodeCanceled, "the caller left before the call ran")
			return upstream.PlainResponse{}, c.withEarlierAttempts(e)
		}
		if grant.Refused {
			return upstream.PlainResponse{}, c.withEarlierAttempts(refusalError(grant))
		}
		c.waited = time.Since(c.request.arrived)
		h.recordEvent("granted", c.request, grant.Upstream.ID, fmt.Sprintf("waited %d ms", c.waited.Milliseconds()))
		answer, e, retryable := c.runOnce(grant.Upstream)
		if e == nil {
			h.recordEvent("completed", c.request, grant.Upstream.ID, "")
			return answer, nil
		}
		e = c.withEarlierAttempts(e)
		c.mayHaveRun = c.mayHaveRun || !e.NotRun
		h.recordEvent("run_failed", c.request, grant.Upstream.ID, e.Message)
		if !retryable || attempt >= maxAttempts || !h.retries.take() {
			return upstream.PlainResponse{}, e
		}
	}
}

// withEarlierAttempts clears e.NotRun if an earlier attempt may have run.
func (c *plainCall) withEarlierAttempts(e *Error) *Error {
	if c.mayHaveRun {
		e.NotRun = false
	}
	return e
}

// runOnce executes the call on one upstream. The call continues if the caller
// disconnects, so that its outcome can be recorded. It reports whether another
// attempt is allowed after an error.
func (c *plainCall) runOnce(host objectapi.Host) (upstream.PlainResponse, *Error, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), plainTimeout)
	defer cancel()
	c.call.Address = host.Address
	if c.idempotencyKey == "" {
		return c.send(ctx)
	}
	idempotencyKey := intent.Key{Workspace: c.request.workspace.Name, Service: c.request.service, Key: c.idempotencyKey}
	attempt, err := c.handler.Records.Begin(ctx, idempotencyKey, c.digest())
	if err != nil {
		c.handler.Scheduler.Finish(c.ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
		answer, e := answerWithoutRun(err)
		return answer, e, false
	}
	return c.sendRecorded(ctx, attempt)
}

// answerWithoutRun returns the answer to a call that cannot run because its
// record could not be created: the stored answer of an earlier call, or an error.
func answerWithoutRun(err error) (upstream.PlainResponse, *Error) {
	var done *intent.Done
	switch {
	case errors.As(err, &done):
		return storedAnswer(done), nil
	case eris.Is(err, intent.ErrRunning):
		return upstream.PlainResponse{}, fail(http.StatusConflict, CodeRunning,
			"a call with this key is running").withRetryAfter(time.Second)
	case eris.Is(err, intent.ErrKeyReused):
		return upstream.PlainResponse{}, notRunError(http.StatusUnprocessableEntity, CodeKeyReused,
			"this key was used for another call")
	case eris.Is(err, intent.ErrUnavailable), eris.Is(err, intent.ErrFull):
		return upstream.PlainResponse{}, notRunError(http.StatusServiceUnavailable, CodeRecordsUnavailable,
			"the call cannot be recorded now").withRetryAfter(time.Second)
	default:
		return upstream.PlainResponse{}, fail(http.StatusBadGateway, CodeOutcomeUnknown,
			"a call with this key was started and its outcome is not known")
	}
}

// digest returns a hash of the call, which detects that an idempotency key is
// used for two different calls.
func (c *plainCall) digest() []byte {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s %s\n", c.call.Method, c.call.Path)
	sum.Write(c.call.Body)
	return sum.Sum(nil)
}

// send sends the call and converts a failure to the error for the caller. It
// reports whether another attempt is allowed.
func (c *plainCall) send(ctx context.Context) (upstream.PlainResponse, *Error, bool) {
	answer, err := c.callAndReport(ctx)
	switch {
	case err == nil:
		return answer, nil, false
	case eris.Is(err, upstream.ErrNotSent), eris.Is(err, upstream.ErrRefused):
		return answer, notRunError(http.StatusBadGateway, CodeUpstreamFailed, "the upstream did not take the call").withRetryAfter(time.Second), true
	case c.idempotent:
		return answer, fail(http.StatusBadGateway, CodeUpstreamFailed, "the answer of the upstream was lost").withRetryAfter(time.Second), true
	default:
		return answer, fail(http.StatusBadGateway, CodeOutcomeUnknown, "the answer of the upstream was lost, the call may have run"), false
	}
}

// sendRecorded sends a call that has a record, and stores the outcome in the
// record.
func (c *plainCall) sendRecorded(ctx context.Context, attempt intent.Attempt) (upstream.PlainResponse, *Error, bool) {
	if !attempt.Valid(time.Now()) {
		c.handler.Scheduler.Finish(c.ticket.ID, ticket.Usage{}, dispatch.OutcomeDeclined, dispatch.Sample{})
		c.logRecordError(attempt.Release(ctx))
		return upstream.PlainResponse{}, notRunError(http.StatusServiceUnavailable, CodeRecordsUnavailable,
			"the router was paused before the call could be sent").withRetryAfter(time.Second), false
	}
	answer, e, retryable := c.send(ctx)
	if retryable {
		// The next attempt creates the record anew, so it must be released first.
		c.logRecordError(attempt.Release(ctx))
		return answer, e, true
	}
	c.storeOutcomeAsync(attempt, answer, e)
	return answer, e, false
}

// storeOutcomeAsync stores the outcome in the background while the answer is
// returned: writes are batched, and waiting for the batch would add up to 250 ms
// to each call. Until the outcome is stored, a second call with the same key gets
// the error "running".
func (c *plainCall) storeOutcomeAsync(attempt intent.Attempt, answer upstream.PlainResponse, e *Error) {
	end := c.handler.requestTracker.begin()
	go func() {
		defer end()
		ctx, cancel := context.WithTimeout(context.Background(), plainTimeout)
		defer cancel()
		switch {
		case e == nil:
			c.logRecordError(attempt.Finish(ctx, outcomeOf(answer)))
		case e.NotRun:
			c.logRecordError(attempt.Release(ctx))
		default:
			c.logRecordError(attempt.MarkUnknown(ctx))
		}
	}()
}

// logRecordError adds an event to the timeline if a record could not be updated.
func (c *plainCall) logRecordError(err error) {
	if err != nil {
		c.handler.recordEvent("record_not_updated", c.request, "", err.Error())
	}
}

// callAndReport sends the call and reports its outcome to the scheduler.
func (c *plainCall) callAndReport(ctx context.Context) (upstream.PlainResponse, error) {
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

func outcomeOf(answer upstream.PlainResponse) intent.Outcome {
	return intent.Outcome{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
	}
}

func storedAnswer(done *intent.Done) upstream.PlainResponse {
	header := done.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerStored, "true")
	if done.Truncated {
		header.Set(headerTruncated, "true")
	}
	return upstream.PlainResponse{Status: done.Status, Header: header, Body: done.Body}
}

func (c *plainCall) write(w http.ResponseWriter, answer upstream.PlainResponse) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Set(headerRequestID, c.request.id)
	header.Set(headerWaited, strconv.FormatInt(c.waited.Milliseconds(), 10))
	header.Set(headerEntry, c.handler.Host)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	setResponseDeadline(w)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
