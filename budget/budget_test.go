package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

// Guards against routers that together repeat more than the bound, with reports
// that are late and routers that nobody hears for a while.
func TestFleetKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers, steps = 5, 300
		step := 100 * time.Millisecond
		start := time.Unix(0, 0)
		windows := make([]*Window, routers)
		reported := make([]Counts, routers)
		at := start
		for i := range windows {
			windows[i] = NewWindow(limits, start)
		}
		var requests, repeats [steps]int
		cut := rapid.IntRange(0, routers).Draw(t, "cut")
		load := rapid.IntRange(0, 6).Draw(t, "load")
		pressure := rapid.IntRange(1, 8).Draw(t, "pressure")
		for s := range steps {
			now := start.Add(time.Duration(s) * step)
			for i, w := range windows {
				for range load {
					w.Request(now)
					requests[s]++
				}
				for range pressure {
					if w.Repeat(now, seen(reported, i, cut, at)) {
						repeats[s]++
					}
				}
			}
			if s%2 == 1 { // reports are up to two steps old
				for i, w := range windows {
					reported[i] = w.Sum(now)
				}
				at = now
			}
		}
		checkBound(t, requests[:], repeats[:], int(limits.Window/step))
	})
}

// seen is what router i knows; routers below cut and the others do not hear each
// other.
func seen(reported []Counts, i, cut int, at time.Time) Fleet {
	f := Fleet{Known: len(reported) - 1, At: at}
	for j, c := range reported {
		if j == i || (i < cut) != (j < cut) {
			continue
		}
		f.Heard++
		f.Requests += c.Requests
		f.Repeats += c.Repeats
	}
	return f
}

func checkBound(t *rapid.T, requests, repeats []int, window int) {
	for end := window; end <= len(repeats); end++ {
		sumRequests, sumRepeats := 0, 0
		for s := end - window; s < end; s++ {
			sumRequests += requests[s]
			sumRepeats += repeats[s]
		}
		if bound := limits.Ratio*float64(sumRequests) + limits.Slack; float64(sumRepeats) > bound {
			t.Fatalf("%d repeats in the window that ends at step %d, bound %v", sumRepeats, end, bound)
		}
	}
}

// Guards against a budget that never recovers.
func TestBudgetRecovers(t *testing.T) {
	start := time.Unix(0, 0)
	w := NewWindow(limits, start)
	spent := 0
	for w.Repeat(start, Fleet{At: start}) {
		spent++
	}
	assert.Equal(t, 40, spent)
	for _, c := range []struct {
		seconds int
		allowed bool
	}{{9, false}, {11, true}} {
		now := start.Add(time.Duration(c.seconds) * time.Second)
		assert.Equal(t, c.allowed, w.Repeat(now, Fleet{At: now}), "after %d s", c.seconds)
	}
}
