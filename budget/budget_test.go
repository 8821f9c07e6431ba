package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

// All routers together must keep the limit, even with late reports and when the
// fleet is split into two groups that do not hear each other.
func TestFleetKeepsTheLimit(t *testing.T) {
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
		var requests, retries [steps]int
		cut := rapid.IntRange(0, routers).Draw(t, "cut")
		requestsPerStep := rapid.IntRange(0, 6).Draw(t, "requests per step")
		retriesPerStep := rapid.IntRange(1, 8).Draw(t, "retries per step")
		for s := range steps {
			now := start.Add(time.Duration(s) * step)
			for i, w := range windows {
				for range requestsPerStep {
					w.AddRequest(now)
					requests[s]++
				}
				for range retriesPerStep {
					if w.AllowRetry(now, remoteOf(reported, i, cut, at)) {
						retries[s]++
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
		checkLimit(t, requests[:], retries[:], int(limits.Window/step))
	})
}

// remoteOf returns what router i knows of the others; routers below cut and the
// rest do not hear each other.
func remoteOf(reported []Counts, i, cut int, at time.Time) Remote {
	remote := Remote{Known: len(reported) - 1, At: at}
	for j, c := range reported {
		if j == i || (i < cut) != (j < cut) {
			continue
		}
		remote.Reporting++
		remote.Requests += c.Requests
		remote.Retries += c.Retries
	}
	return remote
}

func checkLimit(t *rapid.T, requests, retries []int, window int) {
	for end := window; end <= len(retries); end++ {
		sumRequests, sumRetries := 0, 0
		for s := end - window; s < end; s++ {
			sumRequests += requests[s]
			sumRetries += retries[s]
		}
		if limit := limits.Ratio*float64(sumRequests) + limits.Slack; float64(sumRetries) > limit {
			t.Fatalf("%d retries in the window that ends at step %d, limit %v", sumRetries, end, limit)
		}
	}
}

// A spent budget must recover when the window has passed.
func TestBudgetRecovers(t *testing.T) {
	start := time.Unix(0, 0)
	w := NewWindow(limits, start)
	spent := 0
	for w.AllowRetry(start, Remote{At: start}) {
		spent++
	}
	assert.Equal(t, 40, spent)
	for _, c := range []struct {
		seconds int
		allowed bool
	}{{9, false}, {11, true}} {
		now := start.Add(time.Duration(c.seconds) * time.Second)
		assert.Equal(t, c.allowed, w.AllowRetry(now, Remote{At: now}), "after %d s", c.seconds)
	}
}
