package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// linkDelay is the one-way latency between the cells.
const linkDelay = 8 * time.Millisecond

// borrowTime is how long a borrowed ticket waits before it is returned, as in
// package cell.
const borrowTime = time.Second

// connect exchanges summaries and tickets between the cells of a simulation.
func connect(s *sim, cells []*dispatch.Scheduler) {
	s.exchange = func(cell int) {
		for _, p := range cells[cell].Pulls(s.clock()) {
			s.after(linkDelay, func() { lend(s, cells, cell, p) })
		}
	}
	for i := range cells {
		var tick func()
		tick = func() {
			summary := cells[i].Summary(s.clock())
			for j := range cells {
				s.after(linkDelay, func() {
					cells[j].MergeSummary(s.clock(), fmt.Sprintf("c%d", i), summary)
					s.step(j)
				})
			}
			s.after(200*time.Millisecond, tick)
		}
		s.after(time.Duration(i)*50*time.Millisecond, tick)
	}
}

// lend moves tickets to the cell that pulled them. Those that got no slot in time
// are returned.
func lend(s *sim, cells []*dispatch.Scheduler, to int, p dispatch.Pull) {
	from := int(p.Cell[1] - '0')
	for _, t := range cells[from].Lend(s.clock(), p) {
		t.Borrowed = true
		s.after(linkDelay, func() { deliver(s, to, t) })
		s.after(linkDelay+borrowTime, func() {
			if back, ok := cells[to].Withdraw(t.ID); ok {
				back.Borrowed = false
				s.after(linkDelay, func() { deliver(s, from, back) })
			}
		})
	}
}

func deliver(s *sim, cell int, t ticket.Ticket) {
	if refusal := s.schedulers[cell].Enqueue(s.clock(), t); refusal != nil {
		s.refuse(*refusal)
	}
	s.step(cell)
}

func simulateCells(jobs []*job, exchange bool, end time.Duration) *sim {
	s := newSim(plans(), upstreams(12, runnerSlots, 3))
	s.add(clone(jobs))
	cells := s.useScheduler(3, dispatch.DefaultPolicy())
	if exchange {
		connect(s, cells)
	}
	s.runUntil(end)
	return s
}

// Guards against idle slots in one cell while tickets wait in another, and
// against unfair service when the load of a workspace is uneven across cells.
func TestCellsAgainstReference(t *testing.T) {
	t.Parallel()
	const end = 40 * time.Second
	for _, seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 5))
		jobs := arrivals(rng, 0, end, 72, func(i int) *job {
			j := newJob(rng, "short", i, rng.IntN(16), shortTokens(rng))
			j.cell = max(rng.IntN(6)-3, 0)
			return j
		})
		isolated := simulateCells(jobs, false, end)
		connected := simulateCells(jobs, true, end)
		ref := simulate(jobs, end, true, nil)
		t.Logf("seed %d: generated tokens %.3f of the reference (%.3f without exchange); gap %.0f, without exchange %.0f, reference %.0f tokens per weight",
			seed, float64(generated(connected))/float64(generated(ref)), float64(generated(isolated))/float64(generated(ref)),
			connected.gaps.worst/1000, isolated.gaps.worst/1000, ref.gaps.worst/1000)
		require.GreaterOrEqual(t, float64(generated(connected))/float64(generated(ref)), 0.97)
		require.LessOrEqual(t, connected.gaps.worst/ref.gaps.worst, 2.0)
	}
}
