package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Status is how a request ended for its caller.
type Status string

// Final statuses of a request.
const (
	StatusComplete   Status = "complete"
	StatusIncomplete Status = "incomplete" // the response started but was not completed
	StatusWrong      Status = "wrong"      // the response differs from the expected bytes
	StatusRefused    Status = "refused"    // rejected with not_run set
	StatusFailed     Status = "failed"     // failed, and may have run
	StatusUnknown    Status = "unknown"    // outcome of a keyed call could not be determined
	StatusLost       Status = "lost"       // the connection failed before a response
	StatusAbandoned  Status = "abandoned"  // still open when the load run ended
)

const (
	maxAttempts     = 4
	maxResumes      = 8
	maxOutcomePolls = 6
	retryDelay      = 300 * time.Millisecond
	// idleTimeout is the longest gap without data within a response. It exceeds
	// the 5 s after which routers move a stalled run to another engine.
	idleTimeout = 10 * time.Second
	// headerGrace is how long after the deadline a caller still waits for headers.
	headerGrace      = 10 * time.Second
	maxResponseBytes = 4 << 20
)

// apiError is the error object in the body of a router's response.
type apiError struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Attempt is one submission of a request. Sent is relative to the start of the
// load run.
type Attempt struct {
	ID     string // request id in the header of the attempt
	Sent   time.Duration
	Waited time.Duration // time in the router's queue
	NotRun bool          // the router stated that the request did not run
}

// Outcome is the result of one request as the caller saw it. Times are relative
// to the start of the load run.
type Outcome struct {
	Request Request
	Status  Status
	// Code is the last error code, from a router or from the caller itself.
	Code     string
	Attempts []Attempt
	// FirstOutput is the arrival time of the first token, or of the whole response if
	// it was not streamed. It is zero if none arrived.
	FirstOutput time.Duration
	End         time.Duration
	// Resumes counts the attempts to resume the response.
	Resumes int
	// Usage is nil if it was not received.
	Usage  *ticket.Usage
	tokens []tokenArrival
}

// caller is the client of one workspace in one region.
type caller struct {
	client      *http.Client
	entries     *entries
	key         string
	description deployment.Description
	runName     string // unique per load run, part of request ids and idempotency keys
	start       time.Time
}

func (c *caller) elapsed() time.Duration { return time.Since(c.start) }

// call is one request in progress.
type call struct {
	*caller
	outcome  *Outcome
	request  Request
	progress *progress
	deadline time.Time
	resume   string // resume token from the router
}

// do sends a request, with retries and resumes, and returns its outcome.
func (c *caller) do(ctx context.Context, r Request) Outcome {
	outcome := Outcome{Request: r}
	k := &call{caller: c, outcome: &outcome, request: r, progress: newProgress(r)}
	k.deadline = c.start.Add(r.At + r.Deadline)
	if r.IsPlain() {
		outcome.Status = k.callPlain(ctx)
	} else {
		outcome.Status = k.runCompletion(ctx)
	}
	if ctx.Err() != nil && outcome.Status != StatusComplete && outcome.Status != StatusWrong {
		outcome.Status = StatusAbandoned
	}
	outcome.FirstOutput = k.progress.firstOutput
	outcome.tokens = k.progress.tokens
	outcome.Usage = k.progress.usage
	outcome.End = c.elapsed()
	return outcome
}

// attemptHeader records a new attempt and returns its request headers.
func (k *call) attemptHeader() http.Header {
	id := fmt.Sprintf("%s-%06d-%d", k.runName, k.request.Index, len(k.outcome.Attempts)+1)
	k.outcome.Attempts = append(k.outcome.Attempts, Attempt{ID: id, Sent: k.elapsed()})
	attemptHeader := http.Header{}
	attemptHeader.Set("Lacewing-Request-Id", id)
	if k.request.Deadline > 0 {
		left := max(time.Until(k.deadline).Milliseconds(), 1)
		attemptHeader.Set("Lacewing-Deadline-Ms", strconv.FormatInt(left, 10))
	}
	if k.request.Hint > 0 {
		attemptHeader.Set("Lacewing-Cost-Hint", strconv.Itoa(k.request.Hint))
	}
	return attemptHeader
}

// currentAttempt returns the latest attempt, to be updated in place.
func (k *call) currentAttempt() *Attempt { return &k.outcome.Attempts[len(k.outcome.Attempts)-1] }

// headerTimeout returns how long the caller waits for response headers.
func (k *call) headerTimeout() time.Duration {
	return max(time.Until(k.deadline), 0) + headerGrace
}

// send makes one HTTP request and returns when the response headers arrive. The
// request is canceled if they take longer than wait, or if resetIdleTimer is not
// called for idleTimeout afterwards.
func (k *call) send(ctx context.Context, wait time.Duration, method, address, path string, header http.Header, body string) (*routerResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(wait, cancel)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+k.key)
	response, err := k.client.Do(request)
	if err != nil {
		cancel()
		return nil, err
	}
	timer.Reset(idleTimeout)
	return &routerResponse{response, timer, cancel}, nil
}

// routerResponse is an HTTP response that is canceled when no data arrives for
// idleTimeout.
type routerResponse struct {
	*http.Response
	timer  *time.Timer
	cancel context.CancelFunc
}

func (r *routerResponse) resetIdleTimer() { r.timer.Reset(idleTimeout) }

func (r *routerResponse) close() {
	r.timer.Stop()
	_ = r.Body.Close()
	r.cancel()
}

// failure closes the response and returns the error in its body.
func (r *routerResponse) failure() *apiError {
	defer r.close()
	var document struct {
		Error *apiError `json:"error"`
	}
	data, _ := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if json.Unmarshal(data, &document) != nil || document.Error == nil {
		return &apiError{Code: "status_" + strconv.Itoa(r.StatusCode)}
	}
	return document.Error
}

// notSent reports whether the connection could not be established, so that no
// byte of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// permanentCodes are error codes that no retry changes, at any router.
var permanentCodes = map[string]bool{
	"unauthenticated": true, "not_in_plan": true, "unknown_service": true, "wrong_protocol": true,
	"bad_request": true, "body_too_large": true, "deadline_passed": true, "deadline_too_long": true,
	"deadline_unreachable": true, "key_reused": true,
}

// routerCodes are error codes that depend on the router, so that another router
// may accept the request.
var routerCodes = map[string]bool{
	"leaving": true, "not_ready": true, "config_unconfirmed": true, "overloaded": true, "canceled": true,
}

// waitToRetry reports whether a request that ended with e may be sent again, and
// in that case waits before it returns.
func (k *call) waitToRetry(ctx context.Context, address string, e *apiError) bool {
	k.outcome.Code = e.Code
	if routerCodes[e.Code] {
		k.entries.markFailed(address)
	}
	if !e.NotRun || permanentCodes[e.Code] || k.request.Role == RoleFlooding || len(k.outcome.Attempts) >= maxAttempts {
		return false
	}
	wait := time.Duration(e.RetryAfterMS) * time.Millisecond
	if routerCodes[e.Code] {
		wait = 0
	}
	wait = max(wait, retryDelay)
	if time.Now().Add(wait).After(k.deadline) {
		return false
	}
	return pause.For(ctx, wait) == nil
}

// expectedPlain returns the exact response body of the fake plain service.
func expectedPlain(response fake.PlainResponse) string {
	data, _ := json.Marshal(response)
	return string(data) + "\n"
}
