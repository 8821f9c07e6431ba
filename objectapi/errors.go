package objectapi

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalidName means that an object name has an empty, "." or ".." segment.
var ErrInvalidName = eris.New(`object name has an empty, "." or ".." segment`)

// RateLimitError is ErrRateLimited with the delay that the object API asked for.
type RateLimitError struct {
	// RetryAfter is zero if the object API gave none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrRateLimited, e.RetryAfter)
}

// Unwrap returns ErrRateLimited.
func (e *RateLimitError) Unwrap() error { return ErrRateLimited }

// RetryAfter returns the delay in a RateLimitError, or fallback if err has none.
func RetryAfter(err error, fallback time.Duration) time.Duration {
	var limited *RateLimitError
	if errors.As(err, &limited) && limited.RetryAfter > 0 {
		return limited.RetryAfter
	}
	return fallback
}
