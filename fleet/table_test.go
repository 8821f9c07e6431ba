package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func record(host, region string) Record {
	return Record{Host: host, Incarnation: 1, State: Ready, Region: region, CallerAddress: host + "-caller"}
}

func report(r Record, sequence uint64) *Envelope {
	return &Envelope{Report: &Report{Record: r, Sequence: sequence}}
}

func hosts(records []Record) []string {
	var hosts []string
	for _, r := range records {
		hosts = append(hosts, r.Host)
	}
	return hosts
}

// Silent routers must not be listed as live, and must still be probed.
func TestSilentRoutersAreNotLive(t *testing.T) {
	table := NewTable(record("a", "r"), []string{"seed"}, start)
	require.True(t, table.Receive(start, report(record("b", "r"), 1)))
	assert.Equal(t, []string{"a", "b"}, hosts(table.Live(start)))
	assert.Equal(t, []string{"b", "seed"}, table.recipients(start))
	for ms := 100; ms <= 2000; ms += 100 {
		table.Step(start.Add(time.Duration(ms) * time.Millisecond))
	}
	assert.Empty(t, table.Totals(start.Add(reportLifetime)).Routers, "its loads no longer count")
	late := start.Add(2 * time.Second)
	assert.Equal(t, []string{"a"}, hosts(table.Live(late)))
	assert.Contains(t, table.recipients(late), "b")
}

// Reports that are older than the latest one must be ignored, and so must those of
// an earlier incarnation.
func TestOlderReportsAreIgnored(t *testing.T) {
	table := NewTable(record("a", "r"), nil, start)
	assert.True(t, table.Receive(start, report(record("b", "r"), 5)))
	assert.False(t, table.Receive(start, report(record("b", "r"), 5)))
	assert.False(t, table.Receive(start, report(record("b", "r"), 4)))
	restarted := record("b", "r")
	restarted.Incarnation = 2
	assert.True(t, table.Receive(start, report(restarted, 1)))
	assert.False(t, table.Receive(start, report(record("b", "r"), 6)))
	assert.False(t, table.Receive(start, report(record("a", "r"), 9)), "its own report")
}

// After this process was suspended, the other routers must not be considered
// silent.
func TestSuspendedProcess(t *testing.T) {
	table := NewTable(record("a", "r"), nil, start)
	table.Receive(start, report(record("b", "r"), 1))
	resumed := start.Add(5 * time.Second)
	table.Step(resumed)
	assert.Equal(t, []string{"a", "b"}, hosts(table.Live(resumed)))
}

// A new router that reaches one router learns of all.
func TestNewcomerLearnsOfAll(t *testing.T) {
	old := NewTable(record("b", "r"), nil, start)
	old.Receive(start, report(record("c", "r"), 1))
	messages := old.Messages(start, &Report{})
	require.Len(t, messages, 1)
	encoded, err := messages[0].Envelope.Encode()
	require.NoError(t, err)
	decoded, err := DecodeEnvelope(encoded)
	require.NoError(t, err)
	newcomer := NewTable(record("a", "r"), []string{"b"}, start)
	newcomer.Receive(start, decoded)
	assert.Equal(t, []string{"b", "c"}, newcomer.recipients(start))
}

// One router of each region watches the store; when it falls silent another one
// takes over.
func TestOneRouterOfARegionWatches(t *testing.T) {
	a := NewTable(record("a", "r"), nil, start)
	b := NewTable(record("b", "r"), nil, start)
	c := NewTable(record("c", "other"), nil, start)
	for _, table := range []*Table{a, b, c} {
		for _, r := range []Record{record("a", "r"), record("b", "r"), record("c", "other")} {
			table.Receive(start, report(r, 1))
		}
	}
	assert.Equal(t, 0, a.WatchRank(start))
	assert.Equal(t, 1, b.WatchRank(start))
	assert.Equal(t, 0, c.WatchRank(start))
	for ms := 100; ms <= 1900; ms += 100 {
		b.Step(start.Add(time.Duration(ms) * time.Millisecond))
	}
	assert.Equal(t, 0, b.WatchRank(start.Add(1900*time.Millisecond)))
}

// A confirmation reported by another router ages from the time it was reported.
func TestConfirmedAge(t *testing.T) {
	table := NewTable(record("a", "r"), nil, start)
	assert.Equal(t, ForgetAfter, table.ConfirmedAge(start))
	envelope := report(record("b", "r"), 1)
	envelope.Report.StoreAgeMs = 300
	table.Receive(start, envelope)
	assert.Equal(t, 500*time.Millisecond, table.ConfirmedAge(start.Add(200*time.Millisecond)))
}

func FuzzDecodeEnvelope(f *testing.F) {
	envelope := report(record("b", "r"), 1)
	encoded, err := envelope.Encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := DecodeEnvelope(data)
		if err != nil {
			return
		}
		table := NewTable(record("a", "r"), nil, start)
		table.Receive(start, envelope)
		table.Live(start)
		table.recipients(start)
	})
}
