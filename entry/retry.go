package entry

import "sync"

const (
	// retryShare limits retries to 5% of the requests, so that a failing
	// upstream cannot multiply the load on the others.
	retryShare = 0.05
	// retryReserve is the initial and largest number of retry tokens. It allows
	// some retries when there is little traffic.
	retryReserve = 10
	// maxAttempts is the largest number of attempts for one request.
	maxAttempts = 4
)

// retryBudget is a token bucket that each request fills by retryShare and each
// retry drains by one. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// take takes a token for one retry. It reports false if there is none.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
