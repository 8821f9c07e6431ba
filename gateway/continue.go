package gateway

import (
	"strconv"
	"strings"
	"unicode"
)

// recordEvents counts the events that have an id and stores the last id.
func (r *callerResponse) recordEvents(events []byte) {
	for line := range lines(events) {
		if id, hasID := idOf(line); hasID {
			r.consecutive = isNumber(id) && (r.events == 0 || r.consecutive && follows(r.lastEventID, id))
			r.lastEventID = id
			r.events++
		} else if r.lastEventID == "" && !isComment(line) {
			r.unnumbered = true
		}
	}
}

// canContinue reports whether another upstream can continue the response. It cannot if
// the caller has received something that no id tells from the begin of another answer, or
// an id that no header can hold.
func (r *callerResponse) canContinue() bool {
	if r.lastEventID == "" {
		return !r.unnumbered
	}
	return !strings.ContainsFunc(r.lastEventID, unicode.IsControl)
}

// continuesWith reports whether events may follow those that were sent to the caller.
// After events with ids only events with later ones may, and none may be missing.
func (r *callerResponse) continuesWith(events []byte) bool {
	if r.lastEventID == "" {
		return true
	}
	id, found := firstEventID(events)
	switch {
	case !found:
		return true
	case r.consecutive:
		return follows(r.lastEventID, id)
	default:
		return id != "" && id != r.lastEventID
	}
}

func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// follows reports whether an id is the number after another one.
func follows(before, id string) bool {
	a, errA := strconv.ParseUint(before, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	return errA == nil && errB == nil && b == a+1
}
