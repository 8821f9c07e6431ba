package gateway

import "bytes"

// eventBuffer splits a stream of server-sent events into whole events. Lines end with
// a line feed, a carriage return or both; an empty line ends an event. The zero value
// is ready for use.
type eventBuffer struct {
	pending []byte // what follows the last whole event
	// lineBegun is set while the current line has bytes, blank if the line before it
	// was empty, and carriageReturn after a carriage return, to which a line feed
	// belongs.
	lineBegun, blank, carriageReturn bool
}

// add adds bytes of the stream and returns the events that are whole now, nil if there
// are none. The result is valid until the next call.
func (b *eventBuffer) add(chunk []byte) []byte {
	end := 0
	for i, c := range chunk {
		if b.next(c) {
			end = i + 1
		}
	}
	if end == 0 {
		b.pending = append(b.pending, chunk...)
		return nil
	}
	whole := append(b.pending, chunk[:end]...)
	b.pending = bytes.Clone(chunk[end:])
	return whole
}

// next processes one byte and reports whether it belongs to the end of an event.
func (b *eventBuffer) next(c byte) bool {
	switch {
	case c == '\n' && b.carriageReturn:
		b.carriageReturn = false
		return b.blank
	case c == '\n' || c == '\r':
		b.blank = !b.lineBegun
		b.lineBegun, b.carriageReturn = false, c == '\r'
		return b.blank
	default:
		b.lineBegun, b.carriageReturn = true, false
		return false
	}
}

// insideEvent reports whether the bytes so far end inside an event. Comments after the
// last event belong to none.
func (b *eventBuffer) insideEvent() bool {
	if b.lineBegun {
		return true
	}
	for line := range bytes.FieldsFuncSeq(b.pending, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }
