package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code is an error code of the API for callers.
type Code string

// Error codes that callers receive. docs/operating.md explains each.
const (
	CodeUnauthenticated     Code = "unauthenticated"
	CodeNotInPlan           Code = "not_in_plan"
	CodeUnknownService      Code = "unknown_service"
	CodeWrongProtocol       Code = "wrong_protocol"
	CodeBadRequest          Code = "bad_request"
	CodeBodyTooLarge        Code = "body_too_large"
	CodeDeadlinePassed      Code = "deadline_passed"
	CodeDeadlineTooLong     Code = "deadline_too_long"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeQueueFull           Code = "queue_full"
	CodeOverloaded          Code = "overloaded"
	CodeNoUpstream          Code = "no_upstream"
	CodeLeaving             Code = "leaving"
	CodeNotReady            Code = "not_ready"
	CodeConfigUnconfirmed   Code = "config_unconfirmed"
	CodeRecordsUnavailable  Code = "records_unavailable"
	CodeRunning             Code = "running"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeKeyReused           Code = "key_reused"
	CodeUpstreamFailed      Code = "upstream_failed"
	CodeStreamGone          Code = "stream_gone"
	CodeBadResume           Code = "bad_resume"
	CodeDuplicateID         Code = "duplicate_request_id"
	CodeCanceled            Code = "canceled"
)

// Error is the error document that a caller receives.
type Error struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// NotRun is set only if the request certainly did not run.
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// notRunError returns an error for a request that certainly did not run.
func notRunError(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, NotRun: true}
}

// fail returns an error for a request that ran or may have run.
func fail(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message}
}

func (e *Error) withRetryAfter(d time.Duration) *Error {
	e.RetryAfterMS = d.Milliseconds()
	return e
}

// encode returns the JSON document of e for the request with the given id.
func (e *Error) encode(id string) []byte {
	shown := *e
	shown.RequestID = id
	body, _ := json.Marshal(struct {
		Error Error `json:"error"`
	}{shown})
	return body
}

func writeError(w http.ResponseWriter, id string, e *Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if id != "" {
		header.Set(headerRequestID, id)
	}
	if e.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(e.RetryAfterMS) / 1000)
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(append(e.encode(id), '\n'))
}
