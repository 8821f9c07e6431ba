package dispatch

import (
	"time"

	"github.com/lacewingshift/lacewingshift/ticket"
)

const (
	// costGain is the smoothing factor of the moving averages of costs and run
	// times: the weight of the newest value.
	costGain = 0.1
	// minRatio and maxRatio limit the learned ratio of actual cost to hint, so
	// that one absurd hint does not distort the estimates that follow.
	minRatio = 0.05
	maxRatio = 20.0
	// minEstimate is the smallest estimate of remaining cost. A request that
	// exceeded its estimate still needs at least some tokens.
	minEstimate = 10 * ticket.GeneratedTokenPrice
)

// costModel estimates the cost of a workspace's requests from the callers' hints
// and from the costs of finished requests.
type costModel struct {
	mean  float64 // milli-units, zero before the first finished request
	ratio float64 // actual cost / hint, zero before the first finished request with a hint
}

// estimate returns the expected total cost of t. Without a hint and without
// finished requests it returns fallback.
func (m *costModel) estimate(t *ticket.Ticket, fallback ticket.Units) ticket.Units {
	if t.Hint > 0 {
		ratio := m.ratio
		if ratio == 0 {
			ratio = 1
		}
		return ticket.Units(float64(t.Hint) * ratio)
	}
	if m.mean > 0 {
		return ticket.Units(m.mean)
	}
	return fallback
}

// learn adds the total cost of a finished request to the averages.
func (m *costModel) learn(t *ticket.Ticket, cost ticket.Units) {
	m.mean = costEWMA(m.mean, float64(cost))
	if t.Hint <= 0 {
		return
	}
	ratio := float64(cost) / float64(t.Hint)
	ratio = min(max(ratio, minRatio), maxRatio)
	m.ratio = costEWMA(m.ratio, ratio)
}

// costEWMA adds value to an exponentially weighted moving average; a mean of zero
// is an empty average.
func costEWMA(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + costGain*(value-mean)
}

// estimate returns the expected remaining cost of t.
func (s *Scheduler) estimate(w *workspace, t *ticket.Ticket) ticket.Units {
	fallback := s.policy.DefaultCost + ticket.Units(t.PromptTokens)*ticket.PromptTokenPrice
	total := w.costs.estimate(t, fallback)
	return max(total-t.PriorUsage.Cost(), minEstimate)
}

// isLong reports whether t counts as long work, given its estimated remaining
// cost.
func (s *Scheduler) isLong(t *ticket.Ticket, estimate ticket.Units) bool {
	return s.policy.isLacewing() && estimate+t.PriorUsage.Cost() >= s.policy.LongWorkCost
}

// runTime returns the expected run time of work of the given cost.
func (s *Scheduler) runTime(cost ticket.Units) time.Duration {
	return time.Duration(float64(cost) * s.timePerUnit)
}

// learnRunTime updates the average run time per milli-unit from a complete run.
func (s *Scheduler) learnRunTime(took time.Duration, cost ticket.Units) {
	if took <= 0 || cost < minEstimate {
		return
	}
	s.timePerUnit += costGain * (float64(took)/float64(cost) - s.timePerUnit)
}
