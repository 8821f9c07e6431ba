package placement

import "time"

// maxFormer bounds the instances that are no longer listed and whose state is kept.
const maxFormer = 1024

// formerStates keeps what is known of instances that were listed before, since an entry
// can be missing or outdated while the instance still runs.
type formerStates struct {
	byID  map[string]formerState
	order []string // ids, oldest first
}

// formerState is what is known of the earlier instances of one upstream.
type formerState struct {
	listedMs int64 // start of the instance that was listed last
	// leftMs is the latest start of an instance that leaves. Those that started before
	// have ended. left is set if there is one.
	leftMs int64
	left   bool
	// alone says for how long instances that started until aloneMs want to be left
	// alone.
	aloneMs int64
	alone   health
}

// update changes what is known of an upstream.
func (f *formerStates) update(id string, change func(*formerState)) {
	if f.byID == nil {
		f.byID = map[string]formerState{}
	}
	former, known := f.byID[id]
	change(&former)
	f.byID[id] = former
	if !known {
		f.order = append(f.order, id)
	}
	for len(f.order) > maxFormer {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// put keeps the state of an instance that is no longer listed. Its failures are not
// kept: requests that are in progress meanwhile have no effect on them.
func (f *formerStates) put(i Instance, h health) {
	f.update(i.Upstream, func(former *formerState) {
		former.listedMs = i.StartedMs
		if !h.leavingSince.IsZero() {
			former.leave(i.StartedMs)
		}
		if !h.leftAloneUntil.IsZero() {
			former.aloneMs = max(former.aloneMs, i.StartedMs)
		}
		if h.leftAloneUntil.After(former.alone.leftAloneUntil) {
			former.alone = health{leftAloneSince: h.leftAloneSince, leftAloneUntil: h.leftAloneUntil, returning: h.returning}
		}
	})
}

// take returns the state of an instance that is listed now.
func (f *formerStates) take(now time.Time, i Instance) health {
	former, known := f.byID[i.Upstream]
	if !known {
		return health{}
	}
	var h health
	if i.StartedMs <= former.aloneMs {
		h = former.alone
	}
	if former.hasLeft(i.StartedMs) {
		h.leavingSince = now
	}
	return h
}

// leave records that an instance leaves. It reports whether that is news.
func (f *formerState) leave(startedMs int64) bool {
	if f.hasLeft(startedMs) {
		return false
	}
	f.left, f.leftMs = true, startedMs
	return true
}

// hasLeft reports whether an instance leaves or has left.
func (f *formerState) hasLeft(startedMs int64) bool { return f.left && startedMs <= f.leftMs }
