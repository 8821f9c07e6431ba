package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/placement"
)

// Many upstreams that end at once leave more crashes and more parts than a router keeps.
// Routers that report news at once must come to rest all the same: each one may hear of
// a crash as news of a part once, not again after its limits made it forget the crash.
func TestCrashesBeyondTheLimitsAreNewsOnce(t *testing.T) {
	const (
		routers, upstreams, requests = 12, 28, 336
		rounds                       = 60
	)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	var tables []*Table
	for range routers {
		tables = append(tables, NewTable())
	}
	pairs := map[string]bool{}
	for i := range requests {
		crashed := placement.Instance{Upstream: fmt.Sprint("upstream-", i%upstreams), StartedMs: 1}
		subject := fmt.Sprint("subject-", i*2)
		parts := []placement.Part{{ID: "first"}, {ID: subject}, {ID: subject + "-second"}, {ID: "last"}}
		tables[random.IntN(routers)].Crashed(now.Add(time.Duration(random.IntN(20))*time.Millisecond), "engines", crashed, parts, false)
		for _, part := range parts[:3] {
			pairs[crashed.Upstream+part.ID] = true
		}
	}

	sent := make([]int, routers) // revision of the latest report
	news, messages := 0, 0
	for range rounds {
		reports := map[int][]Suspect{}
		for i, table := range tables {
			if table.Revision() != sent[i] {
				sent[i], reports[i] = table.Revision(), table.Suspects(now)
			}
		}
		if len(reports) == 0 {
			break
		}
		for from, report := range reports {
			for to, table := range tables {
				if to == from {
					continue
				}
				messages++
				before := table.Revision()
				table.Merge(now.Add(time.Duration(1+random.IntN(10))*time.Millisecond), report)
				news += table.Revision() - before
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	for i, table := range tables {
		assert.Equal(t, sent[i], table.Revision(), "router %d still has news after %d rounds", i, rounds)
	}
	assert.LessOrEqual(t, news, routers*len(pairs), "messages with news")
	t.Logf("%d pairs of a part and a crash, %d messages, %d with news", len(pairs), messages, news)
}
