package quarantine

import (
	"fmt"
	"strings"
	"time"
)

// BarredParts returns the barred parts with the evidence against them, and a summary that
// changes with them. All routers may end together, so that these outlast them elsewhere;
// a new router learns them by Merge.
func (t *Table) BarredParts(now time.Time) (list []Suspect, summary string) {
	var b strings.Builder
	for _, k := range t.byEvidence() {
		s := t.suspects[k]
		if s.weight() < barWeight || len(list) == maxReported {
			break
		}
		list = append(list, s.report(now, k))
		fmt.Fprintf(&b, "%s,%s,%d,%d;", k.Service, k.Part, len(s.open()), s.trials)
	}
	return list, b.String()
}
