package ledger

// Memory that net/http takes on 64-bit systems, in bytes. A field costs the entry of its
// name in a map and its value, whatever its length.
const (
	// ConnectionBytes is the cost of a connection: its goroutines and buffers.
	ConnectionBytes = 16 << 10
	// FieldBytes is the cost of a field of a head, beside its text.
	FieldBytes = 128
	// HeadByteFactor is the cost of a byte of a head: it is read into one string and
	// copied when it is read in pieces.
	HeadByteFactor = 2
)

// Head estimates the memory for the head of a request while it is read.
type Head struct {
	bytes  int64
	lines  int64 // with text
	column int   // bytes of the current line, without line ends
	ended  bool
}

// Read takes the next bytes of a connection and returns how many of them belong to the head.
func (h *Head) Read(p []byte) int {
	for i, b := range p {
		if h.ended {
			return i
		}
		h.bytes++
		switch b {
		case '\n':
			h.endLine()
		case '\r':
		default:
			h.column++
		}
	}
	return len(p)
}

// endLine counts a line. An empty one ends the head, unless it comes before the first one
// with text.
func (h *Head) endLine() {
	if h.column > 0 {
		h.lines++
	} else if h.lines > 0 {
		h.ended = true
	}
	h.column = 0
}

// Ended reports whether the head is whole.
func (h *Head) Ended() bool { return h.ended }

// Cost returns the memory for what was read so far, in bytes.
func (h *Head) Cost() int64 { return HeadCost(h.lines, h.bytes) }

// HeadCost returns the memory for a head with a number of fields and bytes, in bytes.
func HeadCost(fields, bytes int64) int64 { return fields*FieldBytes + bytes*HeadByteFactor }
