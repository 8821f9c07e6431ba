package dispatch_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// plans returns the limits of 16 workspaces, two of which have triple weight.
func plans() map[string]dispatch.Limits {
	limits := map[string]dispatch.Limits{}
	for i := range 16 {
		l := dispatch.Limits{Weight: 1}
		if i < 2 {
			l.Weight = 3
		}
		limits[workspaceName(i)] = l
	}
	return limits
}

func workspaceName(i int) string { return fmt.Sprintf("w%02d", i) }

// newJob returns a job. Half of the jobs have a hint, which is wrong by up to a
// factor of two in either direction.
func newJob(rng *rand.Rand, class string, i, workspace int, tokens float64) *job {
	j := &job{class: class, tokens: max(int64(tokens), 1)}
	j.ticket = ticket.Ticket{
		ID:           fmt.Sprintf("%s-%d", class, i),
		Workspace:    workspaceName(workspace),
		PromptTokens: 50 + rng.Int64N(400),
		Idempotent:   true,
	}
	if rng.IntN(2) == 0 {
		j.ticket.Hint = ticket.Units(float64(j.cost()) * (0.5 + 1.5*rng.Float64()))
	}
	return j
}

func shortTokens(rng *rand.Rand) float64 { return 10 + rng.ExpFloat64()*60 }
func longTokens(rng *rand.Rand) float64  { return 800 + rng.ExpFloat64()*700 }

func clone(jobs []*job) []*job {
	copies := []*job{}
	for _, j := range jobs {
		c := *j
		copies = append(copies, &c)
	}
	return copies
}
