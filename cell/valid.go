package cell

import (
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// Bounds on the numbers in messages, which keep later arithmetic from overflowing.
const (
	maxMillis = int64(30 * 24 * time.Hour / time.Millisecond) // 30 days
	maxMicros = int64(24 * time.Hour / time.Microsecond)      // one day
	maxTokens = int64(1) << 32
	maxUnits  = ticket.Units(1) << 50
	maxSlots  = 1 << 16
)

// valid reports whether all values of the section are within bounds.
func (s *section) valid() bool {
	if s.Cell == "" || len(s.Progress)%2 != 0 {
		return false
	}
	if s.Claim != nil && s.Claim.Epoch == 0 {
		return false
	}
	return s.validTickets() && s.validUsage() && s.validExchange()
}

func (s *section) validTickets() bool {
	if !all(s.Submits, wireTicket.valid) || !all(s.Lends, wireTicket.valid) {
		return false
	}
	if s.State == nil {
		return true
	}
	return all(s.State.Queued, wireTicket.valid) && all(s.State.Running, runningMessage.valid)
}

func (s *section) validUsage() bool {
	for i, v := range s.Progress {
		if v < 0 || i%2 == 1 && v > maxTokens {
			return false
		}
	}
	return all(s.Usages, usageMessage.valid) && all(s.Finishes, finishMessage.valid) &&
		all(s.Grants, grantMessage.valid) && all(s.Refusals, refusalMessage.valid)
}

func (s *section) validExchange() bool {
	exchange := s.Summary != nil || len(s.Pulls)+len(s.Lends)+len(s.Returns)+len(s.Decided) > 0
	if exchange && s.SenderCell == "" {
		return false
	}
	if s.Summary != nil && !validSummary(*s.Summary) {
		return false
	}
	return all(s.Pulls, pullMessage.valid) && validCounters(s.Counters)
}

func validSummary(s dispatch.Summary) bool {
	if s.FreeSlots < 0 || s.FreeSlots > maxSlots {
		return false
	}
	for _, w := range s.Waiting {
		if w.Workspace == "" || w.Tickets < 0 || w.Cost < 0 || w.Cost > maxUnits {
			return false
		}
	}
	return validCounters(s.Counters)
}

func validCounters(c counters) bool {
	for _, workspaces := range c {
		for _, counter := range workspaces {
			if counter.Served < 0 || counter.Served > maxUnits {
				return false
			}
			if counter.Offset < 0 || counter.Offset > maxUnits {
				return false
			}
		}
	}
	return true
}

func (w wireTicket) valid() bool {
	if w.ID == "" || w.Workspace == "" || w.Seq == 0 {
		return false
	}
	if w.RemainingMS > maxMillis || w.WaitedMS < 0 || w.WaitedMS > maxMillis || w.Stops < 0 {
		return false
	}
	if w.Hint < 0 || w.Hint > maxUnits || w.PromptTokens < 0 || w.PromptTokens > maxTokens {
		return false
	}
	return w.BodyBytes >= 0 && (w.PriorUsage == nil || validUsage(*w.PriorUsage))
}

func (r runningMessage) valid() bool {
	return r.Ticket.valid() && r.Upstream != "" && validUsage(r.Used)
}

func (u usageMessage) valid() bool { return validUsage(u.Used) && u.Sample.valid() }

func (f finishMessage) valid() bool {
	return validUsage(f.Used) && f.Sample.valid() && f.Outcome <= dispatch.OutcomeDeclined
}

func (s sampleMessage) valid() bool {
	return s.FirstToken >= 0 && s.FirstToken <= maxMicros && s.PerToken >= 0 && s.PerToken <= maxMicros
}

func (g grantMessage) valid() bool { return g.Upstream != "" }

func (r refusalMessage) valid() bool { return r.RetryAfter >= 0 && r.RetryAfter <= maxMillis }

func (p pullMessage) valid() bool { return p.Count > 0 && p.Count <= maxSlots }

func validUsage(u ticket.Usage) bool {
	for _, v := range []int64{u.PromptTokens, u.CachedTokens, u.GeneratedTokens, u.PlainCalls} {
		if v < 0 || v > maxTokens {
			return false
		}
	}
	return u.CachedTokens <= u.PromptTokens
}

func all[T any](items []T, valid func(T) bool) bool {
	for _, item := range items {
		if !valid(item) {
			return false
		}
	}
	return true
}
