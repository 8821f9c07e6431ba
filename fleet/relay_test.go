package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/budget"
	"github.com/lacewingshift/lacewingshift/fairshare"
	"github.com/lacewingshift/lacewingshift/placement"
)

// network simulates messages between many tables, with delay and loss.
type network struct {
	rng         *rand.Rand
	now         time.Time
	tables      map[string]*Table
	order       []string
	stopped     map[string]bool
	inFlight    []inFlightMessage
	loss        float64
	sent        map[string]int             // messages by sender
	connections map[[2]string]bool         // pairs of sender and recipient
	partitioned func(from, to string) bool // whether messages between two routers are lost; nil if none are
	bytes       int
	// report returns the report of a router without its record; nil for one with
	// the same load at every router.
	report func(host string) *Report
	// received is told of each message that arrives; nil for none.
	received  func(host string, e *Envelope)
	bytesSent map[string]int // bodies by sender
	bytesOf   map[Kind]int   // bodies by kind
}

type inFlightMessage struct {
	to        string
	arrivesAt time.Time
	body      []byte
}

func newNetwork(routers, dataCentres int, loss float64) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(1, 2)), now: start, tables: map[string]*Table{}, stopped: map[string]bool{}, loss: loss, sent: map[string]int{}, connections: map[[2]string]bool{},
		bytesSent: map[string]int{}, bytesOf: map[Kind]int{},
	}
	var records []Record
	for i := range routers {
		dc := i % dataCentres
		records = append(records, Record{
			Host: fmt.Sprintf("h%03d", i), Incarnation: 1, State: Ready, DataCentre: fmt.Sprint("dc", dc), Region: fmt.Sprint("r", dc%3),
		})
	}
	for _, r := range records {
		table := NewTable(r, nil, start)
		table.Learn(start, records)
		n.tables[r.Host] = table
		n.order = append(n.order, r.Host)
	}
	return n
}

// run advances the simulation by length.
func (n *network) run(t testing.TB, duration time.Duration) {
	const step = 10 * time.Millisecond
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(step) {
		var undelivered []inFlightMessage
		for _, f := range n.inFlight {
			if f.arrivesAt.After(n.now) {
				undelivered = append(undelivered, f)
				continue
			}
			if n.stopped[f.to] {
				continue
			}
			e, err := DecodeEnvelope(f.body)
			require.NoError(t, err)
			n.tables[f.to].Receive(n.now, e)
			if n.received != nil {
				n.received(f.to, e)
			}
		}
		n.inFlight = undelivered
		for i, host := range n.order {
			phase := time.Duration(i%15) * step
			if !n.stopped[host] && (n.now.Sub(start)+phase)%ReportInterval == 0 {
				n.tick(t, host)
			}
		}
	}
}

// tick sends the messages of one router.
func (n *network) tick(t testing.TB, host string) {
	table := n.tables[host]
	table.Step(n.now)
	r := &Report{
		Loads:           []placement.Load{{Upstream: "u", Requests: 1, WaitingTokens: 10, Failing: host == "h005"}},
		WorkspaceTokens: map[string]fairshare.Tokens{"w": {Requested: 2, Granted: 1}},
	}
	if n.report != nil {
		r = n.report(host)
	}
	for _, m := range table.Messages(n.now, r) {
		body, err := m.Envelope.Encode()
		require.NoError(t, err)
		for _, to := range m.To {
			n.sent[host]++
			n.bytes += len(body)
			n.bytesSent[host] += len(body)
			n.bytesOf[m.Kind] += len(body)
			n.connections[[2]string{host, to}] = true
			if n.partitioned != nil && n.partitioned(host, to) {
				continue
			}
			if n.rng.Float64() < n.loss {
				continue
			}
			n.inFlight = append(n.inFlight, inFlightMessage{to: to, arrivesAt: n.now.Add(time.Duration(1+n.rng.IntN(10)) * time.Millisecond), body: body})
		}
	}
}

// check asserts that each running router sees live routers and the sums over all
// others.
func (n *network) check(t *testing.T, live int) {
	t.Helper()
	for _, host := range n.order {
		if n.stopped[host] {
			continue
		}
		totals := n.tables[host].Totals(n.now)
		assert.Equal(t, live-1, totals.Routers, host)
		assert.Equal(t, live-1, totals.Loads["u"].Requests, host)
		assert.InDelta(t, 2*(live-1), totals.WorkspaceTokens["w"].Requested, 0.001, host)
		assert.Len(t, n.tables[host].Live(n.now), live, host)
	}
}

// Every router of a large fleet has the sums over all others, and the number of
// messages that a router sends does not grow with the fleet.
func TestRelaysSumUp(t *testing.T) {
	for _, routers := range []int{9, 67} {
		n := newNetwork(routers, 6, 0)
		n.run(t, 4*time.Second)
		n.check(t, routers)
		n.sent, n.bytes = map[string]int{}, 0
		n.run(t, 3*time.Second)
		most := 0
		for _, count := range n.sent {
			most = max(most, count)
		}
		ticks := int(3 * time.Second / ReportInterval)
		perTick := float64(most) / float64(ticks)
		t.Logf("%d routers: at most %.1f messages a report interval, %.0f bytes/s a router", routers, perTick, float64(n.bytes)/3/float64(routers))
		// The two relays of its own data centre, two of each of the five others, and
		// the members of its own data centre.
		assert.LessOrEqual(t, perTick, float64(2+10+routers/6+1))
		assert.Equal(t, 1, n.tables["h007"].Totals(n.now).Failing["u"])
	}
}

// When both relays of a data centre stop, other members take over.
func TestRelaysStop(t *testing.T) {
	n := newNetwork(43, 4, 0)
	n.run(t, 4*time.Second)
	n.stopped["h000"], n.stopped["h004"], n.stopped["h001"] = true, true, true
	n.run(t, 4*time.Second)
	n.check(t, 40)
	n.stopped["h000"], n.stopped["h004"] = false, false
	n.run(t, 4*time.Second)
	n.check(t, 42)
}

// Message loss must not change which routers are considered live.
func TestRelaysOnLossyLinks(t *testing.T) {
	n := newNetwork(43, 4, 0.05)
	n.run(t, 4*time.Second)
	for range 20 {
		n.run(t, 300*time.Millisecond)
		for _, host := range n.order {
			assert.Len(t, n.tables[host].Live(n.now), 43, host)
		}
	}
}

// A new router that knows a single seed, which is not a relay, becomes part of a
// large fleet.
func TestNewcomerToALargeFleet(t *testing.T) {
	n := newNetwork(40, 4, 0)
	n.run(t, 5*time.Second)
	newcomer := Record{Host: "new", Incarnation: 1, State: Ready, DataCentre: "dc1", Region: "r1"}
	n.tables["new"] = NewTable(newcomer, []string{"h039"}, n.now)
	n.order = append(n.order, "new")
	n.run(t, 5*time.Second)
	n.check(t, 41)
}

// A digest for other data centres already includes the sender's own loads and
// tokens. Sending them in the report as well costs a third of a digest in traffic
// between regions.
func TestDigestsCarryLoadsOnce(t *testing.T) {
	n := newNetwork(60, 3, 0)
	n.run(t, 2*time.Second)
	withLoads := Report{Loads: []placement.Load{{Upstream: "u", Requests: 5}}, WorkspaceTokens: map[string]fairshare.Tokens{"w": {Requested: 9}}}
	digests := 0
	later := n.now.Add(2 * ReportInterval) // relays of 20 members send digests that often
	for _, table := range n.tables {
		own := withLoads
		for _, m := range table.Messages(later, &own) {
			if m.Envelope.Digest == nil || m.Envelope.Digest.DataCentre == "" {
				continue
			}
			digests++
			assert.NotEmpty(t, m.Envelope.Digest.Upstreams)
			assert.NotEmpty(t, m.Envelope.Digest.Workspaces)
			assert.Empty(t, m.Envelope.Report.Loads)
			assert.Empty(t, m.Envelope.Report.WorkspaceTokens)
			assert.NotZero(t, m.Envelope.Report.Sequence, "versions and membership are still sent")
		}
		assert.NotEmpty(t, own.Loads, "reports within the data centre keep them")
	}
	assert.Equal(t, 3, digests, "one relay of each data centre sends digests")
}

// Placement reads sums after the lock of the table is released; in fleets with relays they
// shared maps with the digests that arrived meanwhile, which ended the process.
func TestSumsInUseAreNotChangedByLaterMessages(t *testing.T) {
	for _, routers := range []int{9, 18, 67} {
		n := newNetwork(routers, 3, 0)
		requests := 1
		n.report = func(string) *Report {
			return &Report{
				Loads:           []placement.Load{{Upstream: fmt.Sprint("u", requests), Requests: requests, Failing: true}},
				WorkspaceTokens: map[string]fairshare.Tokens{"w": {Granted: float64(requests)}},
				Retries:         map[string]budget.Counts{"s": {Requests: requests}},
				Leaving:         []placement.Instance{{Upstream: fmt.Sprint("u", requests)}},
			}
		}
		n.run(t, 2*time.Second)
		inUse, asReturned := map[string]*Totals{}, map[string]*Totals{}
		for host, table := range n.tables {
			inUse[host] = table.Totals(n.now)
			copied := NewTotals()
			copied.Add(inUse[host])
			asReturned[host] = copied
		}
		requests = 2
		n.run(t, 2*time.Second)
		for host, table := range n.tables {
			assert.Equal(t, asReturned[host], inUse[host], "%d routers, %s", routers, host)
			assert.NotEqual(t, inUse[host].WorkspaceTokens, table.Totals(n.now).WorkspaceTokens, "later digests arrived")
		}
	}
}

// Routers of a large fleet that start together connect to the relays, not to all
// others: 5,112 connections took 38 processor seconds and 0.11 GB between regions
// at the start of grown Solas.
func TestStartOfALargeFleet(t *testing.T) {
	const routers = 72
	n := newNetwork(routers, 6, 0)
	n.run(t, 3*time.Second)
	n.check(t, routers)
	t.Logf("%d routers: %d connections", routers, len(n.connections))
	assert.Less(t, len(n.connections), routers*(routers-1)/4)
}

// Regions that were partitioned find each other again soon after the links are
// restored, although only a few silent routers are probed at a time.
func TestPartitionedRegionsReconnect(t *testing.T) {
	n := newNetwork(43, 6, 0)
	n.run(t, 3*time.Second)
	n.partitioned = func(from, to string) bool { return n.tables[from].Self().Region != n.tables[to].Self().Region }
	n.run(t, 10*time.Second)
	for _, host := range n.order {
		assert.Less(t, len(n.tables[host].Live(n.now)), 20, host)
	}
	n.partitioned = nil
	n.run(t, 3*time.Second)
	n.check(t, 43)
}

// The age of the sums must include every hop, because decisions depend on it.
func TestAgeOfSumsIncludesRelays(t *testing.T) {
	n := newNetwork(67, 6, 0)
	n.run(t, 4*time.Second)
	for _, host := range n.order {
		before := n.tables[host].Totals(n.now).MeanAge()
		after := n.tables[host].Totals(n.now.Add(100 * time.Millisecond)).MeanAge()
		assert.Positive(t, before, host)
		assert.Less(t, before, 4*ReportInterval, host)
		assert.InDelta(t, 100*time.Millisecond, after-before, float64(5*time.Millisecond), host)
	}
}
