package versioned

import "github.com/lacewingshift/lacewingshift/catalog"

// Written decides which entries the store's current era has written, by their revisions. A
// router that watches the store marks entries with it, and rosters carry the marks to the
// others. The zero value marks nothing. It does no I/O and is not safe for concurrent use.
type Written struct {
	era   int64
	first int64 // revision at which this router first listed the entries in era
	// marks is set if routers may remember an earlier era. Otherwise nobody needs the marks,
	// and each would make all routers fetch a roster.
	marks bool
	held  *Roster // the latest roster of era that this router had before it listed
}

// Listed records that the store listed its entries in an era at a revision, and the roster
// that this router held until then, nil for none, with its era.
func (w *Written) Listed(era, revision int64, held *Roster, heldEra int64) {
	if era > w.era {
		*w = Written{era: era, first: revision, marks: w.marks}
	}
	if held == nil {
		return
	}
	if heldEra < era {
		w.marks = true
		return
	}
	w.held = held
	for _, u := range held.byID {
		w.marks = w.marks || u.WrittenEra > 0
	}
}

// Mark returns an entry that has a revision with the era in which it is known to have been
// written.
func (w *Written) Mark(u catalog.Upstream, revision int64) catalog.Upstream {
	if !w.marks || w.era == 0 {
		return u
	}
	if revision > w.first {
		u.WrittenEra = w.era
		return u
	}
	if w.held != nil {
		if before, known := w.held.Get(u.ID); known && before.SameInstance(u) {
			u.WrittenEra = before.WrittenEra
		}
	}
	return u
}
