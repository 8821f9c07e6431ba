// Package gateway implements request handling in a router: receiving a request,
// resolving its route and workspace, choosing an upstream, sending the request and
// relaying the response.
package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lacewingshift/lacewingshift/boottime"
	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/overload"
	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/shutdown"
	"github.com/lacewingshift/lacewingshift/versioned"
)

const (
	// notReadyRetry is the retry time for requests to a router that has no
	// configuration yet or is stopping, and for those that may not be retried at
	// another upstream.
	notReadyRetry = 200 * time.Millisecond
	// slowBodyRead is the time to read a body from which the caller's connection is
	// checked again. The bodies of most requests arrive together with their
	// headers.
	slowBodyRead = 20 * time.Millisecond
	// reasonPaused is the reason of refusals after a pause of the process, reasonStops of
	// those by a stopping router, reasonEvacuations of those by a router that does not know
	// which data centres are evacuated.
	reasonPaused      = "router was paused"
	reasonStops       = "router stops"
	reasonEvacuations = "evacuations are not known"
	// firstBodyBuffer is the largest buffer that is made for a body before it arrives, in bytes.
	firstBodyBuffer = 16 << 10
	// defaultCallerTimeout applies to callers that state no deadline.
	defaultCallerTimeout = 30 * time.Second
)

// Handler serves the requests of callers.
type Handler struct {
	config *versioned.Latest[platform.Config]
	pools  *pools
	logger *log.Logger
	// admitLine reports whether a log line about a request may be written.
	admitLine func() bool
	metrics   *requestMetrics
	// stopState returns the shutdown state, which decides how new requests are
	// treated.
	stopState      func() shutdown.State
	requestArrived func()
	// routers returns the number of ready routers.
	routers func() int
	// mayAct reports whether the configuration and the upstreams may be used; after a
	// pause of the process they have to be confirmed first.
	mayAct      func() bool
	evacuations *evacuations // nil without them
	// triggerReport tells the other routers what this one has learnt.
	triggerReport func()
	// manyConnections reports whether callers hold so many connections that they
	// are closed after each response.
	manyConnections func() bool
	// exit ends when the router exits: requests in progress are answered at once.
	exit context.Context

	inProgress          atomic.Int64
	mu                  sync.Mutex // guards the fields below
	gate                *overload.Gate
	upstreamConnections map[string]*connections // by service
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	defer freeIntakeSlot(r)
	h.requestArrived()
	c := &call{request: r, received: time.Now(), suspended: boottime.Suspended, suspendedBefore: boottime.Suspended(), processorWait: overload.ProcessorWait()}
	h.metrics.processorWait.Update(c.processorWait.Seconds())
	state := h.stopState()
	if state != shutdown.Serving || c.processorWait >= overload.BusyWait || h.manyConnections() {
		w.Header().Set("Connection", "close")
	}
	if !h.resolve(w, c) {
		return
	}
	if state >= shutdown.Refusing {
		h.refuse(w, c, notReadyRetry, reasonStops)
		return
	}
	h.abortIfCallerLeft(c)
	admitted := h.admitted(c)
	freeIntakeSlot(r)
	if !admitted {
		h.pools.countRefused(c.received, c)
		retryAfter := placement.Jitter(placement.MinRetryAfter, rand.Float64())
		h.refuse(w, c, retryAfter, "router is short of processor time", "processor_wait", c.processorWait)
		return
	}
	readStart := time.Now()
	connection := connectionOf(r)
	connection.assign(c.workspaceName())
	held := heldMemory{connection: connection}
	defer held.release()
	if !h.readBody(w, c, &held) {
		return
	}
	if reason := connection.serve(); reason != "" {
		h.refuse(w, c, placement.Jitter(placement.MinRetryAfter, rand.Float64()), string(reason))
		return
	}
	if time.Since(readStart) > slowBodyRead {
		h.abortIfCallerLeft(c)
	}
	h.dispatch(w, c)
}

// abortIfCallerLeft aborts the request without a response if its caller has
// disconnected.
func (h *Handler) abortIfCallerLeft(c *call) {
	if callerLeft(c.request) {
		h.metrics.callersLeft.Inc()
		h.log(c, "caller left", "reason", "before the request was sent on", "processor_wait", c.processorWait)
		breakOff(c.request)
	}
}

// admitted reports whether the router has the processor time for a request.
func (h *Handler) admitted(c *call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Admit(c.received, c.workspaceName(), c.processorWait)
}

// resolve finds the route, workspace and service of a request. If one is missing,
// it answers the request itself and returns false.
func (h *Handler) resolve(w http.ResponseWriter, c *call) bool {
	snapshot := h.config.Get()
	headers, err := platform.ReadCallerRequest(c.request.Header)
	c.headers, c.configVersion = headers, snapshot.Version
	if snapshot.Version == 0 {
		h.refuse(w, c, notReadyRetry, "no configuration known")
		return false
	}
	if reason := h.mustWait(); reason != "" {
		h.refuse(w, c, notReadyRetry, reason)
		return false
	}
	if err != nil {
		h.reject(w, c, http.StatusBadRequest, err.Error())
		return false
	}
	if headerBytes(c.request.Header) > snapshot.Value.Limits.HeaderBytes {
		h.reject(w, c, http.StatusRequestHeaderFieldsTooLarge, "headers are larger than the limit")
		return false
	}
	if c.target, err = upstreamURL(target(c.request)); err != nil {
		h.reject(w, c, http.StatusBadRequest, err.Error())
		return false
	}
	callerTimeout := headers.CallerTimeout
	if callerTimeout <= 0 {
		callerTimeout = defaultCallerTimeout
	}
	c.route = snapshot.Value.Match(c.request.Host, c.request.URL.EscapedPath())
	if c.route == nil {
		h.reject(w, c, http.StatusNotFound, "no route matches host and path")
		return false
	}
	c.deadline = c.received.Add(min(callerTimeout, c.route.Timeout))
	c.workspace = snapshot.Value.Workspace(headers.Key)
	if c.workspace == nil && snapshot.Value.NeedsKey(c.route) {
		h.reject(w, c, http.StatusUnauthorized, "key is not known")
		return false
	}
	c.service = snapshot.Value.Service(c.route.PickService(rand.Float64()))
	if c.service == nil {
		h.refuse(w, c, time.Second, "route has no service")
		return false
	}
	if reason := h.pools.unservable(c); reason != "" {
		h.refuse(w, c, unservableRetry, string(reason), "regions", c.eligibility().Regions)
		return false
	}
	return true
}

// readBody reads the whole body, because a retry at another upstream needs it
// again.
func (h *Handler) readBody(w http.ResponseWriter, c *call, held *heldMemory) bool {
	limit := h.config.Get().Value.Limits.BodyBytes
	var body bytes.Buffer
	if connection := connectionOf(c.request); connection != nil {
		_ = connection.SetReadDeadline(c.deadline) // an error means that the connection has ended
	}
	// A caller may announce more than it sends.
	body.Grow(int(min(max(c.request.ContentLength, 0), limit, firstBodyBuffer)) + bytes.MinRead)
	_, err := body.ReadFrom(&heldReader{body: http.MaxBytesReader(w, c.request.Body, limit), held: held})
	if err == nil {
		c.body = body.Bytes()
		return true
	}
	if errors.Is(err, errNoMemory) {
		w.Header().Set("Connection", "close")
		h.refuse(w, c, placement.Jitter(placement.MinRetryAfter, rand.Float64()), errNoMemory.Error())
		return false
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.reject(w, c, http.StatusRequestEntityTooLarge, "body is larger than the limit")
		return false
	}
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		h.metrics.cutOff(bodyTooSlow)
		h.reject(w, c, http.StatusRequestTimeout, "body did not arrive in time")
		return false
	}
	h.reject(w, c, http.StatusBadRequest, "body cannot be read: "+err.Error())
	return false
}

// refuse answers that the request has not run and when to retry.
func (h *Handler) refuse(w http.ResponseWriter, c *call, retryAfter time.Duration, reason string, details ...any) {
	c.status = refusalStatus(reason)
	platform.SetRouterHeaders(w.Header(), c.headers.ID, retryAfter)
	h.answer(w, c.status, reason)
	h.metrics.refusedFor(reason)
	h.log(c, "request refused", append([]any{"reason", reason, "retry_after", retryAfter}, details...)...)
}

// refusalStatus tells the caller whether its own workspace asks for too much, or the
// service cannot serve the request for another reason.
func refusalStatus(reason string) int {
	if reason == string(placement.OverShare) {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// reject answers an invalid request.
func (h *Handler) reject(w http.ResponseWriter, c *call, status int, reason string) {
	c.status = status
	platform.SetRouterHeaders(w.Header(), c.headers.ID, 0)
	h.answer(w, status, reason)
	h.metrics.rejected.Inc()
	h.log(c, "request rejected", "reason", reason)
}

// fail answers that the request failed or that its outcome is unknown.
func (h *Handler) fail(w http.ResponseWriter, c *call, status int, reason string, details ...any) {
	c.status = status
	platform.SetRouterHeaders(w.Header(), c.headers.ID, 0)
	h.answer(w, status, reason)
	h.metrics.failed.Inc()
	h.log(c, "request failed", append([]any{"reason", reason}, details...)...)
}

func (h *Handler) answer(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = io.WriteString(w, reason+"\n")
}

// log writes one line about a request with the fields that all lines share.
func (h *Handler) log(c *call, message string, details ...any) {
	if !h.admitLine() {
		return
	}
	fields := []any{
		"request", c.headers.ID, "status", c.status, "config", c.configVersion,
		"took", time.Since(c.received).Round(time.Millisecond / 10),
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "workspace", c.workspaceName())
	}
	if c.upstream != "" {
		fields = append(fields, "upstream", c.upstream, "attempts", c.attempts)
	}
	if c.framing != "" {
		fields = append(fields, "framing", c.framing, "unfinished", c.unfinished)
	}
	h.logger.Info(message, append(fields, details...)...)
}

func (h *Handler) connections(service *catalog.Service) *connections {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.upstreamConnections[service.Name]
	if c == nil {
		c = newConnections(service.MaxConnections, h.routers())
		h.upstreamConnections[service.Name] = c
	}
	return c
}

// headerBytes returns the least size of a request's headers on the wire. Spaces beside the
// values are not known any more.
func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n")
		}
	}
	return size
}
