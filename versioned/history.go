package versioned

import "slices"

// maxHistoryEntries bounds the entries of all changes in a history. It is several
// times what a release of a whole service changes within a second.
const maxHistoryEntries = 4096

// History holds the latest changes of the roster, so that a router which is a little
// behind can be told what it lacks. It is not safe for concurrent use.
type History struct {
	steps   []historyStep // oldest first
	entries int           // in all steps
	latest  *Roster
	version int64 // of latest
	// checksum is that of latest.
	checksum uint64
}

// historyStep is the change from one version to a later one that the router had.
type historyStep struct {
	from, to int64
	change   Change
}

// Record adds a newer roster.
func (h *History) Record(roster *Roster, version int64) {
	if version <= h.version {
		return
	}
	if h.latest != nil {
		change := roster.ChangeSince(h.latest)
		h.steps = append(h.steps, historyStep{from: h.version, to: version, change: change})
		h.entries += change.size()
		h.checksum = change.Checksum
	} else {
		h.checksum = roster.Checksum()
	}
	h.latest, h.version = roster, version
	for h.entries > maxHistoryEntries {
		h.entries -= h.steps[0].change.size()
		h.steps = slices.Delete(h.steps, 0, 1)
	}
}

// Latest returns the newest roster and its version; nil and 0 before the first one.
func (h *History) Latest() (*Roster, int64) { return h.latest, h.version }

// Since returns a change that leads from the roster of an older version to the
// latest one, and false if the history does not go back that far. For versions between
// two that were recorded it is nearly always right, since a change may be applied
// twice, and Apply detects the other cases.
func (h *History) Since(version int64) (Change, bool) {
	if h.latest == nil || version > h.version {
		return Change{}, false
	}
	first := len(h.steps)
	for first > 0 && h.steps[first-1].to > version {
		first--
	}
	if version < h.version && (first == len(h.steps) || h.steps[first].from > version) {
		return Change{}, false
	}
	ids := map[string]bool{}
	for _, s := range h.steps[first:] {
		for _, u := range s.change.Put {
			ids[u.ID] = true
		}
		for _, id := range s.change.Removed {
			ids[id] = true
		}
	}
	merged := Change{Checksum: h.checksum}
	for id := range ids {
		if u, known := h.latest.Get(id); known {
			merged.Put = append(merged.Put, u)
		} else {
			merged.Removed = append(merged.Removed, id)
		}
	}
	return merged, true
}

func (c Change) size() int { return len(c.Put) + len(c.Removed) }
