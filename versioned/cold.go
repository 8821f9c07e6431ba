package versioned

import (
	"time"

	"github.com/lacewingshift/lacewingshift/catalog"
)

// ColdReports turns the cold times in the store's entries, which count down with every
// heartbeat, into those of rosters, which change only if the end of the cold period
// does. It is not safe for concurrent use.
type ColdReports struct {
	// version is that of the latest complete list or change.
	version int64
	ends    map[string]time.Time // of the reports in the roster, by upstream
}

// NewColdReports returns a value that has seen no entries.
func NewColdReports() *ColdReports { return &ColdReports{ends: map[string]time.Time{}} }

// Observe returns an entry with the report to put into the roster. u holds the entry as
// read at a version of the list, and before what the roster says; it is zero if the
// upstream is new.
func (c *ColdReports) Observe(now time.Time, version int64, before, u catalog.Upstream) catalog.Upstream {
	if u.ColdLeftMs <= 0 {
		delete(c.ends, u.ID)
		u.ColdReport = catalog.ColdReport{}
		return u
	}
	u.ColdVersion = version
	end := now.Add(time.Duration(u.ColdLeftMs) * time.Millisecond)
	switch {
	case !before.SameInstance(u):
	case before.ColdLeftMs == 0:
		u.WarmVersion = c.version
	case end.After(c.ends[u.ID].Add(catalog.ColdMargin)):
		u.WarmVersion = before.WarmVersion
	default:
		u.ColdReport = before.ColdReport
		return u
	}
	c.ends[u.ID] = end
	return u
}

// Applied records that all entries of a list or change up to a version were observed.
func (c *ColdReports) Applied(version int64) { c.version = version }
