package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/placement"
	"github.com/lacewingshift/lacewingshift/quarantine"
)

// suspectsLimit is half of the shortest time that routers are given to stop sending
// requests that crash upstreams.
const suspectsLimit = 1500 * time.Millisecond

type fleetSize struct{ routers, dataCentres int }

// suspectNetwork is a network whose routers exchange evidence against parts of prompts.
type suspectNetwork struct {
	*network
	evidence map[string]*quarantine.Table
	crashes  int
}

func newSuspectNetwork(routers, dataCentres int, loss float64) *suspectNetwork {
	n := &suspectNetwork{network: newNetwork(routers, dataCentres, loss), evidence: map[string]*quarantine.Table{}}
	for _, host := range n.order {
		n.evidence[host] = quarantine.NewTable()
		n.evidence[host].SetRouters(host, n.order)
	}
	n.report = func(host string) *Report {
		q := n.evidence[host]
		return &Report{Suspects: q.Suspects(n.now), SuspectsRevision: q.Revision()}
	}
	n.received = func(host string, e *Envelope) { n.evidence[host].Merge(n.now, e.Report.Suspects) }
	return n
}

const suspectService = "engines"

func promptWith(part string) []placement.Part {
	return []placement.Part{{ID: "first"}, {ID: part}, {ID: "own"}}
}

// crash records at one router that an upstream crashed with a prompt that has part. An
// answer to another prompt with the first part follows.
func (n *suspectNetwork) crash(host, part string) {
	n.crashes++
	q := n.evidence[host]
	q.Crashed(n.now, suspectService, placement.Instance{Upstream: fmt.Sprint("i-", n.crashes), StartedMs: 1}, promptWith(part), true)
	q.Sound(n.now, suspectService, []placement.Part{{ID: "first"}, {ID: "own"}})
}

// barredEverywhere reports whether all running routers bar a part.
func (n *suspectNetwork) barredEverywhere(part string) bool {
	return !slices.ContainsFunc(n.order, func(host string) bool {
		return !n.stopped[host] && !n.evidence[host].Check(n.now, suspectService, promptWith(part)).Barred
	})
}

// runUntil runs the simulation until done or for limit, and returns how long that took.
func (n *suspectNetwork) runUntil(t *testing.T, limit time.Duration, done func() bool) time.Duration {
	begin := n.now
	for !done() && n.now.Sub(begin) < limit {
		n.run(t, 10*time.Millisecond)
	}
	return n.now.Sub(begin)
}

// Three crashes, each seen by another router, must bar the part everywhere, also with
// messages lost.
func TestCrashesSeenByDifferentRoutersBarThePartEverywhere(t *testing.T) {
	for _, c := range suspectFleets {
		t.Run(fmt.Sprint(c.routers, " routers"), func(t *testing.T) {
			n := newSuspectNetwork(c.routers, c.dataCentres, 0.02)
			n.run(t, 8*time.Second) // until all digests are complete
			before := n.bytes
			n.run(t, time.Second)
			quiet := n.bytes - before
			for _, i := range []int{1, c.routers / 2, c.routers - 1} {
				n.crash(n.order[i], "deadly")
				n.run(t, 300*time.Millisecond)
			}
			took := n.runUntil(t, 10*time.Second, func() bool { return n.barredEverywhere("deadly") }) + 300*time.Millisecond
			assert.LessOrEqual(t, took, suspectsLimit)
			before = n.bytes
			n.run(t, 3*time.Second)
			t.Logf("barred everywhere %v after the third crash, %.0f bytes a second and router afterwards", took, float64(n.bytes-before-3*quiet)/3/float64(c.routers))
			for _, host := range n.order {
				assert.False(t, n.evidence[host].Check(n.now, suspectService, promptWith("sound")).Barred)
			}
		})
	}
}

// A router that has just started, without any memory, must learn what is barred before
// it is given requests for long.
func TestStartedRouterLearnsWhatIsBarred(t *testing.T) {
	for _, c := range suspectFleets {
		t.Run(fmt.Sprint(c.routers, " routers"), func(t *testing.T) {
			n := newSuspectNetwork(c.routers, c.dataCentres, 0.02)
			n.run(t, 3*time.Second)
			for range 3 {
				n.crash(n.order[0], "deadly")
				n.run(t, 200*time.Millisecond)
			}
			n.runUntil(t, 10*time.Second, func() bool { return n.barredEverywhere("deadly") })
			host := n.order[c.routers-1]
			n.run(t, 5*time.Second) // until the news is repeated seldom only
			record := n.tables[host].Self()
			record.Incarnation++
			n.tables[host] = NewTable(record, []string{n.order[0]}, n.now)
			n.tables[host].Learn(n.now, []Record{n.tables[n.order[0]].Self()})
			n.evidence[host] = quarantine.NewTable()
			took := n.runUntil(t, 10*time.Second, func() bool { return n.barredEverywhere("deadly") })
			t.Log("learnt after ", took)
			assert.LessOrEqual(t, took, 3*time.Second)
		})
	}
}
