package coldlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/catalog"
)

var (
	testLimits = catalog.ColdLimits{Start: 3 * time.Second, PerSecond: 11}
	testBounds = Bounds{Excess: 1.5, Slack: 5}
	testStart  = time.UnixMilli(1_000_000)
	alone      = []Router{{Host: "r", DataCentre: "a", Region: "x"}}
)

func newTable() *Table {
	return New(alone[0], "own", testBounds, map[string]string{"a": "x", "b": "x", "c": "y"})
}

// upstream returns an upstream that started long before testStart.
func upstream(report catalog.ColdReport) catalog.Upstream {
	return catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", StartedMs: 5, ColdReport: report}
}

var coldReport = catalog.ColdReport{ColdLeftMs: 3000, ColdVersion: 100, WarmVersion: 90}

func (t *Table) set(now time.Time, upstreams ...catalog.Upstream) {
	t.SetUpstreams(now, "s", testLimits, upstreams)
}

// request returns the only call that is due while a request could use the upstream.
func request(t *testing.T, table *Table, now time.Time) Call {
	t.Helper()
	table.Allows(now, "u")
	calls := table.Step(now, alone)
	require.Len(t, calls, 1)
	return calls[0]
}

// stored returns the result of a call that found an object.
func stored(holder string, revision int64) Result {
	return Result{Outcome: Done, Stored: Object{Holder: holder, StartedMs: 5, Revision: revision, Version: revision}}
}

// Guards against calls to the store, which are billed, for cold upstreams that no request
// could use: all upstreams of a deployment that starts are cold before its first request.
func TestPermitIsRequestedOnDemandOnly(t *testing.T) {
	table, now := newTable(), testStart
	table.set(now, upstream(coldReport))
	assert.Empty(t, table.Step(now, alone))
	assert.False(t, table.Allows(now, "u"))
	assert.Len(t, table.Step(now.Add(checkInterval), alone), 1)
}

// Guards against requests to a cold upstream before this router holds the permit, and
// against a permit that stays in the store after the period.
func TestPermitIsRequestedUsedAndRemoved(t *testing.T) {
	table, now := newTable(), testStart
	table.set(now, upstream(coldReport))
	assert.False(t, table.Allows(now, "u"))
	c := request(t, table, now)
	assert.Equal(t, Create, c.Kind)
	assert.False(t, table.Allows(now, "u"), "while the call is in progress")
	table.Completed(now, c, stored("own", 110))
	assert.True(t, table.Allows(now, "u"))
	require.NotNil(t, table.Take(now, "u"))
	assert.False(t, table.Allows(now, "u"), "the only token so far was taken")
	assert.True(t, table.Permits(now, "u"))
	now = now.Add(coldReport.Left())
	assert.True(t, table.Allows(now, "u"), "warm")
	c = request(t, table, now)
	assert.Equal(t, Call{Kind: Remove, Upstream: "u", Permit: Object{Holder: "own", StartedMs: 5, Revision: 110, Version: 110}}, c)
	table.Completed(now, c, Result{Outcome: Done})
	assert.True(t, table.Idle())
}

// Guards against a wrong end of each call: whatever the store answers, only an object with
// this router's id, of the current period, permits to send.
func TestStatesAfterEachOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		results []Result // of the calls in order
		want    State
		last    Kind // of the last call
	}{
		"created":                     {[]Result{stored("own", 110)}, Held, Create},
		"held by another":             {[]Result{{Outcome: Conflict}, stored("other", 105)}, Refused, Read},
		"response lost, created":      {[]Result{{Outcome: Lost}, stored("own", 110)}, Held, Read},
		"response lost, not created":  {[]Result{{Outcome: Lost}, {Outcome: Missing}, stored("own", 110)}, Held, Create},
		"store fails":                 {[]Result{{Outcome: Failed}, {Outcome: Failed}}, Wanted, Create},
		"read fails":                  {[]Result{{Outcome: Conflict}, {Outcome: Failed}}, Unknown, Read},
		"left from an earlier period": {[]Result{{Outcome: Conflict}, stored("other", 80), stored("own", 110)}, Held, Replace},
		"store restored from a copy":  {[]Result{stored("own", 30)}, Held, Create},
		"own from an earlier period":  {[]Result{{Outcome: Conflict}, stored("own", 80), stored("own", 110)}, Held, Replace},
		"another replaces it first":   {[]Result{{Outcome: Conflict}, stored("other", 80), {Outcome: Conflict}, stored("third", 110)}, Refused, Read},
		"removed meanwhile":           {[]Result{{Outcome: Conflict}, stored("other", 80), {Outcome: Missing}}, Wanted, Replace},
		"left from an earlier run": {[]Result{{Outcome: Conflict}, {Outcome: Done, Stored: Object{Holder: "other", StartedMs: 4, Revision: 200, Version: 200}},
			stored("own", 210)}, Held, Replace},
		"of a later run": {[]Result{{Outcome: Conflict}, {Outcome: Done, Stored: Object{Holder: "other", StartedMs: 6, Revision: 80, Version: 80}}}, Refused, Read},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := newTable(), testStart
			table.set(now, upstream(coldReport))
			var last Kind
			for _, r := range c.results {
				now = now.Add(maxBackoff)
				call := request(t, table, now)
				last = call.Kind
				table.Completed(now, call, r)
			}
			assert.Equal(t, c.last, last)
			assert.Equal(t, c.want, table.spells["u"].permit.state)
			assert.Equal(t, c.want == Held, table.Allows(now, "u"))
		})
	}
}

// Guards against a new instance that is taken for warm because its entry says nothing yet,
// and against old ones that are taken for cold when a router starts.
func TestNewInstancesAreCold(t *testing.T) {
	table, now := newTable(), testStart
	lately := upstream(catalog.ColdReport{})
	lately.StartedMs = now.UnixMilli()
	table.set(now, lately)
	assert.True(t, table.Allows(now, "u"), "in the first list")
	again := lately
	again.StartedMs++
	old := upstream(catalog.ColdReport{})
	old.ID, old.StartedMs = "old", now.Add(-time.Minute).UnixMilli()
	table.set(now, again, old)
	assert.False(t, table.Allows(now, "u"), "another run")
	assert.True(t, table.Allows(now, "old"), "started long before it was listed")
	assert.False(t, table.Allows(now.Add(testLimits.Start-1), "u"))
	assert.True(t, table.Allows(now.Add(testLimits.Start), "u"))
}

// Guards against a cold period that goes on for a router after the entry says "warm", and
// against one that is forgotten when the entry or the limits go.
func TestPeriodEndsWithTheReport(t *testing.T) {
	for name, end := range map[string]func(*Table, time.Time){
		"warm":      func(t *Table, now time.Time) { t.set(now, upstream(catalog.ColdReport{})) },
		"removed":   func(t *Table, now time.Time) { t.set(now) },
		"no limits": func(t *Table, now time.Time) { t.KeepServices(now, func(string) bool { return false }) },
	} {
		t.Run(name, func(t *testing.T) {
			table, now := newTable(), testStart
			table.set(now, upstream(coldReport))
			table.Completed(now, request(t, table, now), stored("own", 110))
			end(table, now)
			assert.True(t, table.Allows(now, "u"))
			assert.Equal(t, Remove, request(t, table, now).Kind)
		})
	}
}

// Guards against a permit that is used although another router may have replaced it: after
// a pause of the process, and after a warm period that this router did not see.
func TestPermitIsReadAgainWhenInDoubt(t *testing.T) {
	for name, doubt := range map[string]func(*Table, time.Time){
		"pause": func(t *Table, now time.Time) { t.Interrupt(now) },
		"warm meanwhile": func(t *Table, now time.Time) {
			t.set(now, upstream(catalog.ColdReport{ColdLeftMs: 3000, ColdVersion: 200, WarmVersion: 190}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := newTable(), testStart
			table.set(now, upstream(coldReport))
			table.Completed(now, request(t, table, now), stored("own", 110))
			doubt(table, now)
			assert.False(t, table.Allows(now, "u"))
			c := request(t, table, now)
			assert.Equal(t, Read, c.Kind)
			table.Completed(now, c, stored("other", 195))
			assert.False(t, table.Permits(now, "u"))
		})
	}
}

// Guards against requests that were assigned before and are sent together: while they
// wait for a connection the bucket fills again.
func TestRequestsThatWaitedAreNotSentTogether(t *testing.T) {
	table, now := newTable(), testStart
	table.set(now, upstream(catalog.ColdReport{ColdLeftMs: 60_000, ColdVersion: 1}))
	table.Completed(now, request(t, table, now), stored("own", 110))
	var waiting []*Token
	for range 40 {
		if table.Allows(now, "u") {
			waiting = append(waiting, table.Take(now, "u"))
		}
		now = now.Add(110 * time.Millisecond)
	}
	require.Greater(t, len(waiting), 30)
	sent := 0
	for _, token := range waiting {
		if _, ok := table.MaySend(now, "u", token); ok {
			sent++
		}
	}
	assert.Equal(t, 10, sent)
}

// Guards against a request that was assigned while the upstream was warm and reaches it
// without a token after it has become cold, and against tokens that are lost with
// requests that were not sent.
func TestTokensFollowRequests(t *testing.T) {
	table, now := newTable(), testStart
	table.set(now, upstream(catalog.ColdReport{}))
	assigned := table.Take(now, "u")
	assert.Nil(t, assigned, "warm")
	table.set(now, upstream(coldReport))
	_, ok := table.MaySend(now, "u", assigned)
	assert.False(t, ok, "no permit")
	table.Completed(now, request(t, table, now), stored("own", 110))
	assigned, ok = table.MaySend(now, "u", assigned)
	assert.True(t, ok)
	require.NotNil(t, assigned)
	_, ok = table.MaySend(now, "u", nil)
	assert.False(t, ok, "no second token")
	table.GiveBack(now, assigned)
	assert.True(t, table.Allows(now, "u"))
}

// Guards against a retry time at which the upstreams are as cold as before.
func TestTimeUntilAColdUpstreamIsFree(t *testing.T) {
	table, now := newTable(), testStart
	assert.Zero(t, table.FreeIn(now, "s"))
	table.set(now, upstream(coldReport))
	assert.Equal(t, coldReport.Left(), table.FreeIn(now, "s"))
	table.Completed(now, request(t, table, now), stored("own", 110))
	table.Take(now, "u")
	assert.InDelta(t, 1/9.35, table.FreeIn(now, "s").Seconds(), 0.001)
}

// Guards against a single holder that exceeds a strict bound.
func TestRateFitsTheBound(t *testing.T) {
	for _, c := range []struct {
		bounds  Bounds
		rate    float64
		maxSent int
	}{
		{Bounds{Excess: 1.5, Slack: 5}, 9.35, 10},
		{Bounds{Excess: 0.5}, 4.5, 5},
		{Bounds{Excess: 0.05}, 0, 0},
	} {
		p := newPace(testStart, testLimits, c.bounds)
		assert.InDelta(t, c.rate, p.perSecond, 1e-9)
		assert.Equal(t, c.maxSent, p.maxSent)
		assert.Equal(t, c.maxSent > 0, p.hasToken(testStart))
	}
}

// Guards against routers that choose differently although they know the same ones, and
// against a router far away that requests a permit while there are nearer ones.
func TestNearestRoutersRequestPermits(t *testing.T) {
	table := newTable()
	all := []Router{{"r1", "c", "y"}, {"r2", "b", "x"}, {"r3", "a", "x"}, {"r4", "a", "x"}, {"r5", "b", "x"}}
	u := upstream(coldReport)
	assert.Contains(t, []string{"r3", "r4"}, table.first(u, all))
	reversed := []Router{all[4], all[3], all[2], all[1], all[0]}
	assert.Equal(t, table.first(u, all), table.first(u, reversed))
	assert.Contains(t, []string{"r2", "r5"}, table.first(u, []Router{all[0], all[1], all[4]}))
	assert.Equal(t, "r1", table.first(u, all[:1]))
	assert.Empty(t, table.first(u, nil))
}
