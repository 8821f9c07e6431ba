package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingshift/lacewingshift/placement"
)

const service = "engines"

var epoch = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// prompt returns a prompt with the given parts and one of its own.
func prompt(ids ...string) []placement.Part {
	var parts []placement.Part
	for _, id := range append(ids, "own") {
		parts = append(parts, placement.Part{ID: id, Tokens: 100})
	}
	return parts
}

func instance(n int) placement.Instance {
	return placement.Instance{Upstream: fmt.Sprint("engine-", n), StartedMs: 1}
}

// crashes records crashes of as many instances, one a second, of prompts with the parts.
func crashes(t *Table, first, count int, ids ...string) {
	for i := range count {
		t.Crashed(at(float64(first+i)), service, instance(first+i), prompt(ids...), true)
	}
}

func TestPartInThreeCrashesIsBarred(t *testing.T) {
	table := NewTable()
	crashes(table, 0, 2, "deadly")
	v := table.Check(at(2), service, prompt("deadly"))
	assert.False(t, v.Barred)
	assert.True(t, v.NoRetry, "one more crash bars the part")
	crashes(table, 2, 1, "deadly")
	v = table.Check(at(3), service, prompt("first", "deadly"))
	assert.True(t, v.Barred)
	assert.Equal(t, "deadly", v.Part)
	assert.Equal(t, 3, v.Crashes)
	assert.False(t, table.Check(at(3), service, prompt("first")).Barred)
	assert.False(t, table.Check(at(3), "other", prompt("deadly")).Barred, "evidence counts for one service")
}

func TestLastPartIsNotEvidence(t *testing.T) {
	table := NewTable()
	crashes(table, 0, 5)
	assert.Empty(t, table.Suspects(at(5)))
	assert.False(t, table.Check(at(5), service, prompt()).Barred)
}

func TestAnswerClearsEarlierCrashesOnly(t *testing.T) {
	table := NewTable()
	crashes(table, 0, 5, "shared", "deadly")
	table.Sound(at(3.5), service, prompt("shared")) // the crash at 4 s is later
	assert.True(t, table.Check(at(5), service, prompt("shared", "deadly")).Barred)
	v := table.Check(at(5), service, prompt("shared"))
	assert.Equal(t, Verdict{}, v)
}

func TestPartBesideADeadlyOneIsNotBarredAlone(t *testing.T) {
	table := NewTable()
	crashes(table, 0, 3, "shared", "deadly")
	assert.True(t, table.Check(at(3), service, prompt("shared", "deadly")).Barred)
	assert.False(t, table.Check(at(3), service, prompt("shared")).Barred)
	assert.False(t, table.Check(at(3), service, prompt("deadly")).Barred, "nothing tells which of the two it is")
	crashes(table, 3, 1, "deadly")
	assert.True(t, table.Check(at(4), service, prompt("deadly")).Barred)
	assert.False(t, table.Check(at(4), service, prompt("shared")).Barred)
}

func TestUpstreamsThatEndTogetherBarNothing(t *testing.T) {
	table := NewTable()
	for i := range 10 {
		table.Crashed(at(float64(i)*0.005), service, instance(i), prompt("popular"), true)
	}
	assert.False(t, table.Check(at(1), service, prompt("popular")).NoRetry)
}

func TestRequestsThatOnlyWaitedCountLess(t *testing.T) {
	table := NewTable()
	for i := range 5 {
		table.Crashed(at(float64(i)), service, instance(i), prompt("waiting"), false)
	}
	assert.False(t, table.Check(at(5), service, prompt("waiting")).Barred)
	table.Crashed(at(5), service, instance(5), prompt("waiting"), false)
	assert.True(t, table.Check(at(6), service, prompt("waiting")).Barred)
}

func TestCrashSeenByManyRoutersCountsOnce(t *testing.T) {
	table := NewTable()
	for range 9 {
		table.Crashed(at(0), service, instance(0), prompt("part"), true)
	}
	assert.False(t, table.Check(at(1), service, prompt("part")).NoRetry)
}

func TestLostConnectionToALivingUpstreamIsNoCrash(t *testing.T) {
	table := NewTable()
	d := NewDetector(table)
	for i := range 5 {
		a := Attempt{Service: service, Instance: instance(i), Parts: prompt("part"), Answered: true}
		assert.True(t, d.BrokeOff(at(float64(i)), a))
		assert.False(t, d.BrokeOff(at(float64(i)), a), "one check an instance")
		assert.Zero(t, d.Checked(a.Instance, false))
	}
	assert.Empty(t, table.Suspects(at(5)))
	a := Attempt{Service: service, Instance: instance(9), Parts: prompt("part"), Answered: true}
	assert.True(t, d.BrokeOff(at(6), a))
	assert.Equal(t, 1, d.Checked(a.Instance, true))
	late := Attempt{Service: service, Instance: instance(9), Parts: prompt("other")}
	assert.False(t, d.BrokeOff(at(6.1), late))
	assert.Len(t, table.Suspects(at(6.2)), 2)
}

func TestStreamInProgressIsNoEvidence(t *testing.T) {
	table := NewTable()
	d := NewDetector(table)
	assert.False(t, d.BrokeOff(at(0), Attempt{Service: service, Instance: instance(0), Parts: prompt("part"), Answered: true, Events: ProvenEvents}))
}

func TestOldEvidenceIsForgotten(t *testing.T) {
	table := NewTable()
	crashes(table, 0, 2, "part")
	table.Step(at(2).Add(memory))
	assert.Empty(t, table.suspects)
	crashes(table, 0, 3, "deadly")
	table.Step(at(2).Add(memory))
	assert.Len(t, table.suspects, 1, "a barred part is remembered for longer")
	table.Step(at(2).Add(barredMemory + time.Second))
	assert.Empty(t, table.suspects)
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	crashes(table, 0, 4, "deadly")
	for i := range 3 * maxSuspects {
		table.Crashed(at(10), service, instance(100+i), prompt(fmt.Sprint("part-", i)), true)
	}
	for i := range 3 * maxCrashes {
		table.Crashed(at(float64(20+i)), service, instance(10_000+i), prompt("deadly"), true)
	}
	assert.Len(t, table.suspects, maxSuspects)
	assert.Len(t, table.suspects[Key{service, "deadly"}].crashes, maxCrashes)
	list := table.Suspects(at(60))
	assert.Len(t, list, maxReported)
	assert.Equal(t, "deadly", list[0].Part)
}

// Routers that exchange reports in any order, with repeats, must agree in the end.
func TestReportsInAnyOrderConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const routers = 4
		tables := make([]*Table, routers)
		for i := range tables {
			tables[i] = NewTable()
		}
		now := epoch
		parts := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			from, to := tables[rapid.IntRange(0, routers-1).Draw(r, "from")], tables[rapid.IntRange(0, routers-1).Draw(r, "to")]
			part := parts[rapid.IntRange(0, 2).Draw(r, "part")]
			switch rapid.IntRange(0, 2).Draw(r, "event") {
			case 0:
				from.Crashed(now, service, instance(rapid.IntRange(0, 5).Draw(r, "instance")), prompt(part), rapid.Bool().Draw(r, "begun"))
			case 1:
				from.Sound(now, service, prompt(part))
			case 2:
				to.Merge(now, from.Suspects(now))
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(now, from.Suspects(now))
				}
			}
		}
		for _, part := range parts {
			want := tables[0].Check(now, service, prompt(part))
			for _, table := range tables[1:] {
				if got := table.Check(now, service, prompt(part)); got.Barred != want.Barred || got.Crashes != want.Crashes {
					r.Fatalf("%s: %+v and %+v", part, want, got)
				}
			}
		}
	})
}

func TestMalformedReportsAreLeftOut(t *testing.T) {
	table := NewTable()
	table.Merge(at(0), []Suspect{
		{Service: "", Part: "a", Crashes: []Crash{{Instance: 1}}},
		{Service: service, Part: "", Crashes: []Crash{{Instance: 1}}},
		{Service: service, Part: string(make([]byte, maxPartLength+1)), Crashes: []Crash{{Instance: 1}}},
		{Service: service, Part: "b", Crashes: make([]Crash, maxCrashes+1)},
		{Service: service, Part: "c", Crashes: []Crash{{Instance: 1, AgeMs: -1}, {Instance: 2, AgeMs: 1 << 62}}},
		{Service: service, Part: "d", Trials: 5, TrialAgeMs: 1 << 62},
	})
	assert.Empty(t, table.suspects)
}

// exchange lets each table hear of each other one, with 2% of the reports lost.
func exchange(random *rand.Rand, now time.Time, tables []*Table) {
	for _, from := range tables {
		report := from.Suspects(now)
		for _, to := range tables {
			if random.Float64() >= 0.02 {
				to.Merge(now, report)
			}
		}
	}
}

// One failed trial must cost one upstream in the whole fleet, and a sound part must come
// back by a trial.
func TestOneTrialAtATimeInTheFleet(t *testing.T) {
	const routers = 9
	var hosts []string
	for i := range routers {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	for _, sound := range []bool{false, true} {
		t.Run(fmt.Sprint("part is sound again: ", sound), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			tables := make([]*Table, routers)
			for i := range tables {
				tables[i] = NewTable()
				tables[i].SetRouters(hosts[i], hosts)
				crashes(tables[i], 0, 3, "part")
			}
			var trials []time.Time
			freed := time.Time{}
			for now := at(3); now.Before(at(600)); now = now.Add(50 * time.Millisecond) {
				i := random.IntN(routers)
				v := tables[i].Check(now, service, prompt("part"))
				if !v.Barred && freed.IsZero() {
					freed = now
				}
				if v.Trial {
					trials = append(trials, now)
					tables[i].BeginTrial(now, service, v)
					if sound {
						tables[i].Sound(now.Add(300*time.Millisecond), service, prompt("part"))
					} else {
						tables[i].Crashed(now.Add(300*time.Millisecond), service, instance(1000+len(trials)), prompt("part"), true)
					}
				}
				if now.Sub(epoch)%(150*time.Millisecond) == 0 {
					exchange(random, now, tables)
				}
			}
			if sound {
				assert.Len(t, trials, 1)
				assert.Less(t, freed.Sub(at(0)), time.Minute)
				return
			}
			// 30, 60, 120 and 240 s after the crash before.
			assert.GreaterOrEqual(t, len(trials), 3)
			assert.LessOrEqual(t, len(trials), 4)
		})
	}
}
