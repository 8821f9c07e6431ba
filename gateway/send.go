package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/shutdown"
)

// Causes with which a router cancels an attempt.
var (
	errSilent   = eris.New("upstream is silent")
	errDeadline = eris.New("request deadline exceeded")
	errExits    = eris.New("router exits")
)

// errWithheld ends an attempt whose permission to send has ended before it was sent.
var errWithheld = eris.New("upstream must not get the request any more")

const (
	// minStreamTimeout is the shortest silence after which a stream is moved to
	// another upstream.
	minStreamTimeout = 1500 * time.Millisecond
	// streamTimeoutGaps and streamTimeoutTargets set that silence as multiples of
	// the route's targets. It is shorter than the time after which callers
	// disconnect.
	streamTimeoutGaps    = 5
	streamTimeoutTargets = 2.5
	// plainTimeoutTargets is the time, as a multiple of the target latency, after
	// which an idempotent request is retried at another upstream.
	plainTimeoutTargets = 2.5
	// minRemaining is the least remaining time in which an attempt can succeed.
	minRemaining = 60 * time.Millisecond
	// bufferLimit is the size up to which a response is read whole before it is
	// sent to the caller, so that a broken response can be replaced by a retry.
	bufferLimit = 64 << 10
)

// attemptStatus tells whether an attempt answered its request or ran it.
type attemptStatus uint8

const (
	// answered: the caller has its response or has disconnected.
	answered attemptStatus = iota + 1
	// notRun: the upstream did not run the request.
	notRun
	// maybeRan: the upstream may have run the request.
	maybeRan
)

// result is the result of one attempt.
type result struct {
	attemptStatus attemptStatus
	outcome       placement.Outcome // for the health of the upstream
	reason        string            // for logs and for the caller
}

// dispatch tries upstreams until one has answered or no further attempt is allowed.
func (h *Handler) dispatch(w http.ResponseWriter, c *call) {
	out := newCallerResponse(w)
	defer h.releaseSuccessor(c)
	for {
		now := time.Now()
		if c.remaining(now) < minRemaining {
			h.giveUp(out, c, http.StatusGatewayTimeout, "time is over", 0)
			return
		}
		if reason := h.mustWait(); reason != "" {
			h.giveUp(out, c, http.StatusServiceUnavailable, reason, notReadyRetry)
			return
		}
		if h.turnsAway(c.mayHaveRun) {
			h.giveUp(out, c, http.StatusServiceUnavailable, reasonStops, notReadyRetry)
			return
		}
		a, ok := h.nextAssignment(now, c)
		if !ok {
			h.giveUp(out, c, http.StatusBadGateway, "no further attempt allowed", max(notReadyRetry, h.pools.freeIn(now, c)))
			return
		}
		h.metrics.assigned(&a)
		if a.Refused() {
			h.giveUp(out, c, http.StatusServiceUnavailable, string(a.Reason), a.RetryAfter, slices.Concat([]any{"wait", a.Wait}, a.shareFields(), a.heldBackFields(), a.verdictFields())...)
			return
		}
		if len(c.tried) == 0 {
			h.pools.countRequest(now, c.service.Name)
		}
		c.attempts++
		c.upstream, c.framing, c.unfinished = a.Upstream.ID, "", 0
		c.tried = append(c.tried, a.Upstream.ID)
		c.progress = answerProgress{}
		eventsBefore := out.events
		r := h.attempt(out, c, &a)
		h.noteBreakOff(c, &a, out.events-eventsBefore)
		ejected := h.pools.ended(time.Now(), c, &a, r.outcome, r.attemptStatus != notRun)
		if ejected {
			h.logger.Warn("upstream ejected", "upstream", c.upstream, "request", c.headers.ID, "reason", r.reason)
		}
		if r.attemptStatus == answered {
			h.log(c, "request ended", slices.Concat([]any{"reason", r.reason, "wait", a.Wait, "first", c.firstByte,
				"read", a.ReadTokens, "rank", a.Rank, "events", out.events, "pause", out.eventGap}, a.shareFields(), a.heldBackFields(), a.verdictFields())...)
			return
		}
		if r.outcome == placement.Withheld {
			c.attempts-- // nothing has reached the upstream
			h.metrics.sendsWithheld.Inc()
		}
		c.mayHaveRun = c.mayHaveRun || r.attemptStatus == maybeRan
		h.metrics.attemptsFailed.Inc()
		h.log(c, "attempt failed", "reason", r.reason, "may_have_run", r.attemptStatus == maybeRan, "wait", a.Wait,
			"events", out.events-eventsBefore, "parts", c.partIDs())
		final := c.mayHaveRun && !c.route.Retryable() || out.started && (c.route.Kind != catalog.Stream || !out.canContinue())
		if final || r.outcome == placement.Abandoned {
			h.giveUp(out, c, http.StatusBadGateway, r.reason, 0)
			return
		}
	}
}

// turnsAway reports whether the router stops and a request that has not run is left to
// another router. Its answer could come too late for this one.
func (h *Handler) turnsAway(mayHaveRun bool) bool {
	return !mayHaveRun && h.stopState() >= shutdown.Refusing
}

// permission returns a function that reports whether an attempt may still send its request.
// It may be called after the attempt has ended, by a dial that goes on in the background.
func (h *Handler) permission(c *call, a *assignment) func() bool {
	mayHaveRun := c.mayHaveRun // changes with the next attempts
	return func() bool {
		return h.mustWait() == "" && !h.turnsAway(mayHaveRun) && h.pools.maySend(time.Now(), c, a)
	}
}

// nextAssignment returns the upstream for the next attempt: the one that the watchdog
// of a silent attempt has reserved, or a new one. It returns false if no further
// attempt is allowed.
func (h *Handler) nextAssignment(now time.Time, c *call) (assignment, bool) {
	if successor := c.successor.Swap(nil); successor != nil {
		return *successor, true
	}
	if c.attempts > 0 && !h.takeRetry(now, c) {
		return assignment{}, false
	}
	return h.pools.assign(now, c), true
}

// reserveSuccessor reserves another upstream for a request and reports whether there
// is one and the limit on retries allows it.
func (h *Handler) reserveSuccessor(c *call) bool {
	now := time.Now()
	a := h.pools.assign(now, c)
	if a.Refused() {
		return false
	}
	if !h.takeRetry(now, c) {
		h.pools.ended(now, c, &a, placement.Abandoned, false)
		return false
	}
	c.successor.Store(&a)
	return true
}

// releaseSuccessor gives up an upstream that was reserved but is not needed.
func (h *Handler) releaseSuccessor(c *call) {
	if a := c.successor.Swap(nil); a != nil {
		h.pools.ended(time.Now(), c, a, placement.Abandoned, false)
	}
}

// takeRetry reports whether another attempt is allowed, and takes it from the
// fleet's retry budget.
func (h *Handler) takeRetry(now time.Time, c *call) bool {
	return c.attempts < c.route.MaxAttempts && h.pools.allowRetry(now, c.service.Name)
}

// giveUp ends a request without an upstream's response. It refuses the request,
// which tells the caller that it has not run, only if that is certain.
func (h *Handler) giveUp(out *callerResponse, c *call, status int, reason string, retryAfter time.Duration, details ...any) {
	if out.started {
		h.log(c, "request broken off", append([]any{"reason", reason, "events", out.events}, details...)...)
		h.metrics.brokenOff.Inc()
		breakOff(c.request)
	}
	if c.request.Context().Err() != nil {
		h.log(c, "caller left", "reason", reason)
		breakOff(c.request)
	}
	if !c.mayHaveRun {
		h.refuse(out.w, c, retryAfter, reason, details...)
		return
	}
	if status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	h.fail(out.w, c, status, reason, details...)
}

// attempt sends the request to one upstream and relays the response.
func (h *Handler) attempt(out *callerResponse, c *call, a *assignment) result {
	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	timer := time.AfterFunc(c.remaining(time.Now()), func() { cancel(errDeadline) })
	defer timer.Stop()
	watchdog := h.newWatchdog(c, cancel)
	defer watchdog.stop()
	defer context.AfterFunc(h.exit, func() { cancel(errExits) })()

	permitted := h.permission(c, a)
	if !permitted() {
		return classify(ctx, errWithheld, false, false)
	}
	ctx = withPermission(ctx, permitted)
	var connected, wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { wrote.Store(true) },
	})
	conns := h.connections(c.service)
	response, err := conns.transport(a.Upstream.Address, c.route.Retryable()).RoundTrip(h.upstreamRequest(ctx, out, c, a))
	if err != nil {
		c.progress.lost = wrote.Load() && isConnectionLost(err)
		return classify(ctx, err, connected.Load(), wrote.Load())
	}
	defer response.Body.Close()
	return h.relayResponse(ctx, out, c, a, response, conns, watchdog)
}

// classify returns the result of an attempt that failed with err. connected and
// wrote report how far the request got.
func classify(ctx context.Context, err error, connected, wrote bool) result {
	cause := context.Cause(ctx)
	status := maybeRan
	if !wrote {
		status = notRun
	}
	switch {
	case errors.Is(err, errWithheld):
		return result{notRun, placement.Withheld, errWithheld.Error()}
	case errors.Is(cause, errSilent):
		return result{status, placement.Failed, "upstream is silent"}
	case errors.Is(cause, errDeadline):
		return result{status, placement.Failed, "no answer in time"}
	case errors.Is(cause, errExits):
		return result{status, placement.Abandoned, errExits.Error()}
	case cause != nil:
		return result{status, placement.Abandoned, "caller left"}
	case !connected:
		return result{status, placement.Unreachable, "no connection: " + err.Error()}
	default:
		return result{status, placement.Failed, "no answer: " + err.Error()}
	}
}

// upstreamRequest builds the request to the upstream.
func (h *Handler) upstreamRequest(ctx context.Context, out *callerResponse, c *call, a *assignment) *http.Request {
	fields := platform.SystemFields{
		Instance: a.Upstream.ID, Workspace: c.workspaceName(), Remaining: c.remaining(time.Now()), LastEvent: out.lastEventID,
	}
	target := *c.target
	target.Host = a.Upstream.Address
	request := &http.Request{
		Method: c.request.Method,
		URL:    &target,
		Host:   c.request.Host,
		Header: platform.UpstreamHeader(c.request.Header, fields),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body:          singleUseBody(c.request.Method, c.body),
		ContentLength: int64(len(c.body)),
	}
	return request.WithContext(ctx)
}

// singleUseBody returns a body that net/http cannot rewind, so that it never
// retries a request by itself. It would otherwise retry a GET without a body,
// whatever its route.
func singleUseBody(method string, body []byte) io.ReadCloser {
	if len(body) == 0 && (method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch || method == http.MethodDelete) {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(body))
}

// relayResponse checks a response and relays it.
func (h *Handler) relayResponse(ctx context.Context, out *callerResponse, c *call, a *assignment, response *http.Response, conns *connections, watchdog *watchdog) result {
	headers := platform.ReadUpstreamResponse(response)
	conns.setUpstreamTimeout(a.Upstream.Address, headers.IdleTimeout)
	c.status = response.StatusCode
	c.framing = framingOf(response)
	h.metrics.responded(c.framing)
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if reason := notPassedOn(response, headers.RequestID, c); reason != "" {
		return result{maybeRan, placement.Failed, reason}
	}
	h.noteUpstream(c, a, &headers)
	c.progress.begunAt = time.Now()
	switch {
	case headers.NotRun && c.leaveAlone:
		return result{notRun, placement.Deferred, "upstream asks to be left alone"}
	case headers.NotRun:
		return result{notRun, placement.Rejected, "upstream did not run the request"}
	case !headers.Sealed || headers.Encoded:
		return result{maybeRan, placement.Failed, "answer is not the upstream's own"}
	case platform.TellsNotRun(response.StatusCode):
		return result{maybeRan, c.failureOutcome(), fmt.Sprintf("status %d of a request that may have run", response.StatusCode)}
	case !success && response.StatusCode >= 500 && c.route.Retryable() && h.canRetry(c):
		return result{maybeRan, placement.Failed, "upstream failed"}
	case success && c.route.Kind == catalog.Stream:
		return h.relayStream(ctx, out, c, a, response, watchdog)
	}
	return h.relayBuffered(ctx, out, c, a, response, watchdog)
}

// noteUpstream records what an upstream says about itself, before its answer is passed
// on.
func (h *Handler) noteUpstream(c *call, a *assignment, headers *platform.UpstreamResponse) {
	now := time.Now()
	if headers.Leaving {
		h.noteLeaving(now, c, a)
	}
	if headers.RetryAfterErr != nil {
		h.log(c, "time to wait of an upstream cannot be used", "err", headers.RetryAfterErr)
	}
	c.leaveAlone = headers.RetryAfter > 0
	if !c.leaveAlone {
		return
	}
	if grew := h.pools.leaveAlone(now, a, headers.RetryAfter); grew > 0 {
		h.metrics.leftAlone(c.service.Name, grew)
		h.log(c, "upstream is left alone", "for", headers.RetryAfter, "grew", grew)
	}
}

// noteLeaving records that the upstream of an attempt says that it leaves.
func (h *Handler) noteLeaving(now time.Time, c *call, a *assignment) {
	if h.pools.saysLeaving(now, a) {
		h.logger.Info("upstream leaves", "upstream", c.upstream, "source", "answer", "request", c.headers.ID)
		h.triggerReport()
	}
}

// canRetry reports whether another attempt is likely to be allowed.
func (h *Handler) canRetry(c *call) bool {
	return c.attempts < c.route.MaxAttempts && c.remaining(time.Now()) > minRemaining
}

// watchdog cancels an attempt at a silent upstream if the request can be retried
// elsewhere. Otherwise the attempt continues, as the upstream may only be slow.
type watchdog struct {
	timer   *time.Timer // nil if the request cannot be retried
	timeout time.Duration

	mu      sync.Mutex
	stopped bool
}

func (h *Handler) newWatchdog(c *call, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{timeout: time.Duration(plainTimeoutTargets * float64(c.route.TargetLatency))}
	if c.route.Kind == catalog.Stream {
		w.timeout = max(minStreamTimeout, time.Duration(streamTimeoutTargets*float64(c.route.TargetLatency)), streamTimeoutGaps*c.route.TargetGap)
	}
	if !c.route.Retryable() || c.attempts >= c.route.MaxAttempts {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.stopped:
		case h.reserveSuccessor(c):
			cancel(errSilent)
		default:
			w.timer.Reset(w.timeout)
		}
	})
	return w
}

// reset restarts the timeout after an upstream has made progress.
func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the watchdog. Nothing is reserved afterwards.
func (w *watchdog) stop() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}
