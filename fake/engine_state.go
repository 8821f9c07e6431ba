package fake

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// RunRecord counts the runs and tokens of one request id.
type RunRecord struct {
	// Runs counts runs that started at the first token, Continuations those that
	// started after resume_tokens.
	Runs          int `json:"runs"`
	Continuations int `json:"continuations,omitempty"`
	Tokens        int `json:"tokens"`
}

// EngineStatus is the response of GET /control of an engine.
type EngineStatus struct {
	Settings EngineSettings       `json:"settings"`
	Faults   Faults               `json:"faults"`
	Ledger   map[string]RunRecord `json:"ledger"`
	Orders   []Order              `json:"orders"`
	Running  int                  `json:"running"`
	// Tokens is the number of generated tokens.
	Tokens int64 `json:"tokens"`
	// BusyMillis is the time with at least one running request. SlotMillis is the
	// integral over time of the number of busy slots.
	BusyMillis float64 `json:"busy_ms"`
	SlotMillis float64 `json:"slot_ms"`
	// UpMillis is the time since the start.
	UpMillis float64 `json:"up_ms"`
	// MaxRunning is the highest number of concurrent runs so far.
	MaxRunning int `json:"max_running"`
}

// Status returns the current state, ledger and counters.
func (e *Engine) Status() EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.meter.change(now, 0)
	status := EngineStatus{
		Settings:   e.settings,
		Faults:     e.faults.get(),
		Ledger:     make(map[string]RunRecord, len(e.ledger)),
		Orders:     append([]Order{}, e.orders.accepted...),
		Running:    e.meter.running,
		Tokens:     e.meter.tokens,
		BusyMillis: inMillis(e.meter.busy),
		SlotMillis: inMillis(e.meter.slotTime),
		UpMillis:   inMillis(now.Sub(e.start)),
		MaxRunning: e.meter.maxRunning,
	}
	for id, entry := range e.ledger {
		status.Ledger[id] = *entry
	}
	return status
}

func inMillis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// LoadReport is the response of GET /v1/load.
type LoadReport struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// TokenMillis is the time per token at a batch size of Running.
	TokenMillis float64 `json:"token_ms"`
	// AgeMillis is the age of the data.
	AgeMillis float64 `json:"age_ms"`
}

// loadSample is the number of running requests since a time.
type loadSample struct {
	at      time.Time
	running int
}

// meter integrates the number of running requests over time, and keeps the
// history for delayed load reports.
type meter struct {
	slots      int
	running    int
	maxRunning int
	tokens     int64
	busy       time.Duration // time with at least one running request
	slotTime   time.Duration // integral over time of the number of busy slots
	last       time.Time     // last call of change
	history    []loadSample
}

func newMeter(slots int, now time.Time) meter {
	return meter{slots: slots, last: now, history: []loadSample{{at: now}}}
}

// change accounts for the time since the last change and adds delta to the number
// of running requests.
func (m *meter) change(now time.Time, delta int) {
	elapsed := now.Sub(m.last)
	m.last = now
	if m.running > 0 {
		m.busy += elapsed
	}
	m.slotTime += elapsed * time.Duration(min(m.running, m.slots))
	m.running += delta
	m.maxRunning = max(m.maxRunning, m.running)
	if delta != 0 {
		m.history = append(m.history, loadSample{now, m.running})
	}
}

// report returns the load at time now - lag, and drops older samples.
func (m *meter) report(now time.Time, lag time.Duration) LoadReport {
	at := now.Add(-lag)
	for len(m.history) > 1 && !m.history[1].at.After(at) {
		m.history = m.history[1:]
	}
	running := 0
	if !m.history[0].at.After(at) {
		running = m.history[0].running
	}
	return LoadReport{Running: running, Slots: m.slots, AgeMillis: inMillis(lag)}
}

// Order instructs an engine to load a model, an adapter or a version, or to change
// its role. Fence is the fencing number of the lease of its sender.
type Order struct {
	Kind  string `json:"kind"`
	Value string `json:"value,omitempty"`
	Fence int64  `json:"fence"`
}

// orderLog holds the accepted orders.
type orderLog struct {
	highest  int64 // highest fencing number seen
	accepted []Order
}

// accept records the order unless it rejects it, and reports whether it was
// accepted. With checkFence, it rejects a fencing number lower than the highest one
// seen.
func (l *orderLog) accept(order Order, checkFence bool) bool {
	if checkFence && order.Fence < l.highest {
		return false
	}
	l.highest = max(l.highest, order.Fence)
	l.accepted = append(l.accepted, order)
	return true
}

// prefixCache is an LRU cache of prompts, keyed by their first bytes.
type prefixCache struct {
	capacity    int
	prefixBytes int
	order       *list.List // of string prompts, most recently used first
	entries     map[string]*list.Element
}

func newPrefixCache(capacity, prefixBytes int) *prefixCache {
	return &prefixCache{
		capacity:    capacity,
		prefixBytes: prefixBytes,
		order:       list.New(),
		entries:     map[string]*list.Element{},
	}
}

func (c *prefixCache) key(prompt string) string {
	return prompt[:min(len(prompt), c.prefixBytes)]
}

// lookupAndStore returns how many tokens of prompt were cached, and stores prompt.
func (c *prefixCache) lookupAndStore(prompt string) int {
	key := c.key(prompt)
	if element := c.entries[key]; element != nil {
		common := commonPrefix(element.Value.(string), prompt)
		element.Value = prompt
		c.order.MoveToFront(element)
		return common / promptBytesPerToken
	}
	c.entries[key] = c.order.PushFront(prompt)
	if c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.entries, c.key(oldest))
	}
	return 0
}

func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// SpellSettings configure random periods of slow execution, called slow spells.
// If MeanGapMillis is zero, there are none.
type SpellSettings struct {
	Seed uint64 `json:"seed"`
	// MeanGapMillis is the mean of the exponentially distributed time between
	// spells.
	MeanGapMillis float64 `json:"mean_gap_ms"`
	// Millis is the length of a spell, and Factor multiplies run times during it.
	Millis float64 `json:"ms"`
	Factor float64 `json:"factor"`
}

// spells iterates over the seeded sequence of slow spells.
type spells struct {
	settings   SpellSettings
	random     *rand.Rand
	start, end time.Time
}

func newSpells(settings SpellSettings, now time.Time) *spells {
	s := &spells{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 0x5be115)),
		end:      now,
	}
	s.advance()
	return s
}

func (s *spells) advance() {
	gap := millis(s.random.ExpFloat64() * s.settings.MeanGapMillis)
	s.start = s.end.Add(gap)
	s.end = s.start.Add(millis(s.settings.Millis))
}

// factor returns the slowdown factor at now, which must not decrease between
// calls.
func (s *spells) factor(now time.Time) float64 {
	if s.settings.MeanGapMillis <= 0 || s.settings.Millis <= 0 {
		return 1
	}
	for !now.Before(s.end) {
		s.advance()
	}
	if now.Before(s.start) {
		return 1
	}
	return s.settings.Factor
}
