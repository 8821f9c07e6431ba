package gateway

import (
	"bytes"
	"iter"
)

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
	for line := range lines(b.pending) {
		if !isComment(line) {
			return true
		}
	}
	return false
}

// lines returns the lines of a stream without their ends.
func lines(stream []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(stream) > 0 {
			end := bytes.IndexAny(stream, "\r\n")
			if end < 0 {
				yield(stream)
				return
			}
			next := end + 1
			if stream[end] == '\r' && next < len(stream) && stream[next] == '\n' {
				next++
			}
			if !yield(stream[:end]) {
				return
			}
			stream = stream[next:]
		}
	}
}

var idField = []byte("id:")

// idOf returns the id that a line gives its event, and whether it gives one.
func idOf(line []byte) (id string, hasID bool) {
	value, hasID := bytes.CutPrefix(line, idField)
	if !hasID {
		return "", false
	}
	return string(bytes.TrimSpace(value)), true
}

// isComment reports whether a line is empty or a comment.
func isComment(line []byte) bool { return len(line) == 0 || line[0] == ':' }

// firstEventID returns the id of the first event, empty if it has none, and false if there
// are only comments.
func firstEventID(events []byte) (id string, found bool) {
	for line := range lines(events) {
		if len(line) == 0 && found {
			return "", true
		}
		if id, hasID := idOf(line); hasID {
			return id, true
		}
		found = found || !isComment(line)
	}
	return "", found
}
