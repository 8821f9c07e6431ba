package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// A router that was cut off from the store and from all routers took that for an outage of
// the store, and went on using upstreams that had been removed meanwhile.
func TestRouterThatWasCutOffUsesNoRemovedUpstreams(t *testing.T) {
	for name, test := range map[string]struct {
		region    string // of another router
		answersMs int64  // of the store, as that router reports when the cut has healed
		used      int    // upstreams
	}{
		"the store answered others":         {"r", 60_000, 1},
		"the store answered nobody":         {"r", 200, 2},
		"others do not say":                 {"r", 0, 2},
		"the store answered another region": {"other", 60_000, 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			x := &exchange{
				config: versioned.NewLatest[platform.Config](), upstreams: versioned.NewLatest[*versioned.Roster](),
				logger: log.New(io.Discard), missingDropped: make(chan struct{}, 1),
				table: fleet.NewTable(fleet.Record{Host: "a", DataCentre: "d", Region: "r"}, nil, now),
			}
			sequence := uint64(0)
			hear := func(answersMs int64) {
				sequence++
				report := &fleet.Report{Record: fleet.Record{Host: "b", DataCentre: "d", Region: test.region, Incarnation: 1, State: fleet.Ready}, Sequence: sequence, StoreAgeMs: 100, StoreAnswersMs: answersMs}
				x.table.Receive(now, &fleet.Envelope{Report: report})
			}
			step := func(ticks int) {
				for range ticks {
					now = now.Add(fleet.ReportInterval)
					x.table.Step(now)
					x.stepRetention(now)
				}
			}
			roster := func(ids ...string) *versioned.Roster {
				var upstreams []catalog.Upstream
				for _, id := range ids {
					upstreams = append(upstreams, catalog.Upstream{ID: id, Address: id})
				}
				return versioned.NewRoster(upstreams)
			}
			hear(60_000)
			step(1)
			x.use(now, versioned.Snapshot[*versioned.Roster]{Value: roster("u", "v"), Version: 1})
			x.storeFailedAt = now.Add(time.Second)
			step(30) // cut off
			hear(test.answersMs)
			used := x.use(now, versioned.Snapshot[*versioned.Roster]{Value: roster("u"), Version: 2})
			assert.Len(t, used.All(), test.used)
		})
	}
}
