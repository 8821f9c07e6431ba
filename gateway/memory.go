package gateway

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// heldMemoryRatio is the fraction of a router's memory that large bodies of callers
	// and large unfinished events of upstreams may take, and defaultHeldMemory their
	// limit in bytes on a host that states no memory. Copies made while they grow
	// come on top.
	heldMemoryRatio   = 0.1
	defaultHeldMemory = 24 << 20
	// ownMemory is the part of a body or event that every request may hold, in bytes.
	ownMemory = 64 << 10
)

// errNoMemory reports that all requests together hold as many bytes as they may.
var errNoMemory = eris.New("router is short of memory")

// memoryBudget bounds the bytes that all requests of a router hold beyond ownMemory
// each. It is safe for concurrent use.
type memoryBudget struct {
	limit int64
	taken atomic.Int64
}

// newMemoryBudget returns the budget of a router with the given memory in bytes, 0 if it
// is not known.
func newMemoryBudget(memory int64) *memoryBudget {
	if memory <= 0 {
		return &memoryBudget{limit: defaultHeldMemory}
	}
	return &memoryBudget{limit: int64(heldMemoryRatio * float64(memory))}
}

// heldMemory is what one request has taken from a budget. It is not safe for concurrent
// use.
type heldMemory struct {
	budget *memoryBudget
	taken  int64
}

// set sets the number of bytes that the request holds and reports whether the budget
// has room for them. Without room nothing changes.
func (m *heldMemory) set(bytes int64) bool {
	needed := max(bytes-ownMemory, 0)
	more := needed - m.taken
	if more == 0 {
		return true
	}
	if m.budget.taken.Add(more) > m.budget.limit && more > 0 {
		m.budget.taken.Add(-more)
		return false
	}
	m.taken = needed
	return true
}

// release returns what the request holds.
func (m *heldMemory) release() { m.set(0) }

// heldReader counts the bytes that are read from a body and kept. Errors: errNoMemory
// and those of the body.
type heldReader struct {
	body io.Reader
	held *heldMemory
	read int64
}

func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.read += int64(n)
	if !r.held.set(r.read) {
		return n, errNoMemory
	}
	return n, err
}
