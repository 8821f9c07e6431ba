package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// request holds the id, workspace, body and limits of a caller's request that passed
// authentication and the checks of its plan.
type request struct {
	id        string
	workspace config.Workspace
	use       config.Use // limits of the plan for service
	service   string
	body      []byte
	costHint  ticket.Units // zero if unknown
	arrived   time.Time
	deadline  time.Time // zero if the caller set none
	release   func()    // releases the memory of body, see Handler.readBody
}

// key returns the fleet-wide key of the request. It includes the workspace,
// because callers choose request ids and two workspaces may choose the same one.
func (req *request) key() string { return requestKey(req.id, req.workspace.Name) }

func requestKey(id, workspace string) string { return id + keySeparator + workspace }

// keySeparator is a character that neither request ids nor workspace names
// contain.
const keySeparator = "@"

// RequestID returns the request id that the caller chose, given the fleet-wide
// key of the request.
func RequestID(key string) string {
	id, _, _ := strings.Cut(key, keySeparator)
	return id
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{8,64}$`)

// requestID returns the id from the request's header, or a new id if there is
// none.
func requestID(r *http.Request) (string, *Error) {
	id := r.Header.Get(headerRequestID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if !requestIDPattern.MatchString(id) {
		return "", notRunError(http.StatusBadRequest, CodeBadRequest,
			headerRequestID+" needs 8 to 64 letters, digits, hyphens or underscores")
	}
	return id, nil
}

// authenticate returns the workspace of the caller's key and its plan.
func (h *Handler) authenticate(r *http.Request) (config.Workspace, config.Plan, *Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return config.Workspace{}, config.Plan{}, notRunError(http.StatusUnauthorized, CodeUnauthenticated,
			"the header Authorization: Bearer KEY is missing")
	}
	workspace, plan, ok := h.Directory.Lookup(key)
	if !ok {
		return workspace, plan, notRunError(http.StatusUnauthorized, CodeUnauthenticated, "no workspace has this key")
	}
	return workspace, plan, nil
}

// CheckReady returns nil if the handler accepts new requests, and otherwise the
// error for the caller.
func (h *Handler) CheckReady() *Error {
	if h.draining.Load() {
		return notRunError(http.StatusServiceUnavailable, CodeLeaving, "this router is leaving, use another address")
	}
	return h.Directory.CheckConfig()
}

// admit authenticates the request, checks its headers and then reads its body.
// The service is checked by admitService.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, id string) (request, config.Plan, *Error) {
	req := request{id: id, arrived: time.Now(), release: func() {}}
	if e := h.CheckReady(); e != nil {
		return req, config.Plan{}, e
	}
	workspace, plan, e := h.authenticate(r)
	if e != nil {
		return req, plan, e
	}
	req.workspace = workspace
	if e := req.readDeadlineAndCost(r); e != nil {
		return req, plan, e
	}
	if e := h.readBody(w, r, &req, largestBodyLimit(plan)); e != nil {
		return req, plan, e
	}
	return req, plan, nil
}

func (req *request) readDeadlineAndCost(r *http.Request) *Error {
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms > int64(24*time.Hour/time.Millisecond) {
			return notRunError(http.StatusBadRequest, CodeBadRequest, headerDeadline+" is not a number of milliseconds below a day")
		}
		if ms <= 0 {
			return notRunError(http.StatusBadRequest, CodeDeadlinePassed, "the deadline has passed already")
		}
		req.deadline = req.arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if text := r.Header.Get(headerCostHint); text != "" {
		tokens, err := strconv.ParseInt(text, 10, 32)
		if err != nil || tokens < 0 {
			return notRunError(http.StatusBadRequest, CodeBadRequest, headerCostHint+" is not a number of tokens")
		}
		req.costHint = ticket.Units(tokens) * ticket.GeneratedTokenPrice
	}
	return nil
}

// largestBodyLimit returns the largest body limit among the services of a plan. It
// applies until the service of a request is known.
func largestBodyLimit(plan config.Plan) int64 {
	largest := int64(0)
	for _, use := range plan.Uses {
		largest = max(largest, bodyLimit(use))
	}
	return largest
}

func bodyLimit(use config.Use) int64 {
	if use.MaxBodyBytes > 0 {
		return min(int64(use.MaxBodyBytes), maxBodyBytes)
	}
	return maxBodyBytes
}

const (
	// bodyTimeout limits the time to read a request body, so that a slow caller
	// does not hold memory.
	bodyTimeout = 30 * time.Second
	// responseWriteTimeout limits the time to write a complete response, so that a
	// caller that does not read it does not hold the connection.
	responseWriteTimeout = 30 * time.Second
)

// setResponseDeadline sets the deadline for writing a complete response.
func setResponseDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
}

// readBody reads the body of r into req. The body counts against maxBodyMemory until
// req.release is called.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, req *request, limit int64) *Error {
	reserved := limit
	if r.ContentLength >= 0 {
		reserved = min(r.ContentLength, limit)
	}
	if !h.bodyMemory.TryAcquire(reserved) {
		return notRunError(http.StatusServiceUnavailable, CodeOverloaded,
			"this router holds as many requests as it can").withRetryAfter(time.Second)
	}
	// Some writers, such as httptest.ResponseRecorder, do not support deadlines.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		h.bodyMemory.Release(reserved)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return notRunError(http.StatusRequestEntityTooLarge, CodeBodyTooLarge,
				fmt.Sprintf("the body is larger than the %d bytes that the plan allows", limit))
		}
		return notRunError(http.StatusBadRequest, CodeBadRequest, "the body could not be read")
	}
	req.body = body
	req.release = func() { h.bodyMemory.Release(reserved) }
	return nil
}

// admitService checks that the service exists and that the plan allows this
// request on it.
func (h *Handler) admitService(req *request, plan config.Plan, service string) *Error {
	if _, known := h.Directory.ServiceKind(service); !known {
		return notRunError(http.StatusNotFound, CodeUnknownService, fmt.Sprintf("there is no service %q", service))
	}
	for _, use := range plan.Uses {
		if use.Service == service {
			req.use = use
			req.service = service
			return req.checkUse()
		}
	}
	return notRunError(http.StatusForbidden, CodeNotInPlan,
		fmt.Sprintf("the plan %q does not include the service %q", plan.Name, service))
}

// checkUse checks the body size and the deadline against the limits of the plan.
func (req *request) checkUse() *Error {
	if limit := bodyLimit(req.use); int64(len(req.body)) > limit {
		return notRunError(http.StatusRequestEntityTooLarge, CodeBodyTooLarge,
			fmt.Sprintf("the body is larger than the %d bytes that the plan allows", limit))
	}
	longest := time.Duration(req.use.MaxDeadlineMS) * time.Millisecond
	if longest > 0 && req.deadline.Sub(req.arrived) > longest {
		return notRunError(http.StatusBadRequest, CodeDeadlineTooLong,
			fmt.Sprintf("the deadline is later than the %d ms that the plan allows", req.use.MaxDeadlineMS))
	}
	return nil
}

// ticket returns the ticket that represents the request in the scheduler.
func (req *request) ticket(entry string) ticket.Ticket {
	return ticket.Ticket{
		ID:        req.key(),
		Workspace: req.workspace.Name,
		Service:   req.service,
		Entry:     entry,
		Hint:      req.costHint,
		BodyBytes: int64(len(req.body)),
		Arrived:   req.arrived,
		Deadline:  req.deadline,
	}
}

// refusalError converts a refusal by the scheduler to the error for the caller.
func refusalError(d Decision) *Error {
	switch d.Reason {
	case ticket.ReasonQueueFull:
		return notRunError(http.StatusTooManyRequests, CodeQueueFull,
			"the workspace has too many requests waiting").withRetryAfter(max(d.RetryAfter, time.Second))
	case ticket.ReasonDeadline:
		return notRunError(http.StatusServiceUnavailable, CodeDeadlineUnreachable,
			"no capacity can meet the deadline").withRetryAfter(d.RetryAfter)
	case ticket.ReasonDeadlinePassed:
		return notRunError(http.StatusServiceUnavailable, CodeDeadlinePassed, "the deadline passed in the queue")
	case ticket.ReasonUnknownWorkspace:
		return notRunError(http.StatusForbidden, CodeNotInPlan, "the plan no longer includes the service")
	default:
		return notRunError(http.StatusServiceUnavailable, CodeNoUpstream,
			"no upstream of the service is available").withRetryAfter(max(d.RetryAfter, time.Second))
	}
}
