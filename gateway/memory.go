package gateway

import (
	"io"

	"github.com/rotisserie/eris"
)

// growthFactor is the memory for a body or event in relation to its size: the copies that are
// made while it grows.
const growthFactor = 2

// errNoMemory reports that all callers together hold as much as they may.
var errNoMemory = eris.New("router is short of memory")

// heldMemory is a part of what one request holds: its body, an unfinished event or an answer.
// It is not safe for concurrent use.
type heldMemory struct {
	connection *callerConnection // nil holds without a bound
	taken      int64
}

// set sets the number of bytes that are held and reports whether there is room for them.
// Without room nothing changes.
func (m *heldMemory) set(bytes int64) bool {
	more := growthFactor*bytes - m.taken
	if more == 0 || m.connection == nil {
		return true
	}
	if !m.connection.holdMore(more) {
		return false
	}
	m.taken += more
	return true
}

// force sets the number of bytes that are held already, whether or not there is room.
func (m *heldMemory) force(bytes int64) {
	if m.connection != nil {
		m.connection.forceMore(growthFactor*bytes - m.taken)
		m.taken = growthFactor * bytes
	}
}

// release returns what is held.
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
