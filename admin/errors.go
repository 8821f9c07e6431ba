package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/lacewingshift/lacewingshift/config"
)

// Error codes of the API.
const (
	CodeUnauthorized    = "unauthorized"
	CodeNotFound        = "not_found"
	CodeBadRequest      = "bad_request"
	CodeInvalidConfig   = "invalid_config"
	CodeConflict        = "conflict"
	CodeIfMatchRequired = "if_match_required"
	CodeTooLarge        = "too_large"
	CodeUnavailable     = "unavailable"
	CodeOutcomeUnknown  = "outcome_unknown"
	CodeInternal        = "internal"
)

// apiError is the error in a response of the form {"error": ...}.
type apiError struct {
	Code    string         `json:"code"`
	Message string         `json:"message"`
	Faults  []config.Fault `json:"faults,omitempty"`
}

func writeError(w http.ResponseWriter, status int, e apiError) {
	writeJSON(w, status, map[string]apiError{"error": e})
}

// writeErrorFor writes the response for an error of the store or of reading the body.
func writeErrorFor(w http.ResponseWriter, err error) {
	var invalid *config.InvalidError
	var tooLarge *http.MaxBytesError
	e := apiError{Message: err.Error()}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &invalid):
		status, e.Code = http.StatusUnprocessableEntity, CodeInvalidConfig
		e.Message, e.Faults = "the lists are not valid", invalid.Faults
	case errors.Is(err, config.ErrConflict):
		status, e.Code = http.StatusPreconditionFailed, CodeConflict
	case errors.Is(err, config.ErrNoVersion):
		status, e.Code = http.StatusNotFound, CodeNotFound
	case errors.Is(err, config.ErrTooLarge), errors.As(err, &tooLarge):
		status, e.Code = http.StatusRequestEntityTooLarge, CodeTooLarge
	case errors.Is(err, config.ErrOutcomeUnknown):
		status, e.Code = http.StatusGatewayTimeout, CodeOutcomeUnknown
	case errors.Is(err, config.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		status, e.Code = http.StatusServiceUnavailable, CodeUnavailable
	default:
		e.Code = CodeInternal
	}
	writeError(w, status, e)
}

func writeBadRequest(w http.ResponseWriter, message string) {
	writeError(w, http.StatusBadRequest, apiError{Code: CodeBadRequest, Message: message})
}
