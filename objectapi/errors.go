package objectapi

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalidName means that an object name has an empty or relative segment.
var ErrInvalidName = eris.New("object name has an empty or relative segment")

// RateLimitError is ErrRateLimited with the wait that the object API asks for.
type RateLimitError struct {
	// RetryAfter is zero when the object API gave none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrRateLimited, e.RetryAfter)
}

// Unwrap returns ErrRateLimited.
func (e *RateLimitError) Unwrap() error { return ErrRateLimited }

// RetryAfter returns the wait that a rate limit error carries, or otherwise.
func RetryAfter(err error, otherwise time.Duration) time.Duration {
	var limited *RateLimitError
	if errors.As(err, &limited) && limited.RetryAfter > 0 {
		return limited.RetryAfter
	}
	return otherwise
}
