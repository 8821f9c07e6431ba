package fake

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// streamRetention is how long a stream without a reader is kept. The engine
// protocol guarantees this time.
const streamRetention = 10 * time.Second

// EngineSettings configure a fake engine. Zero values mean defaults.
type EngineSettings struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// Slots is the nominal batch size. The engine accepts more requests, but then
	// generates tokens more slowly.
	Slots int `json:"slots"`
	// BaseTokenMillis is the time per token at batch size 1, and
	// NominalTokenMillis the time per token at batch size Slots.
	BaseTokenMillis    float64 `json:"base_token_ms"`
	NominalTokenMillis float64 `json:"nominal_token_ms"`
	// PromptTokenMillis is the prefill time per uncached prompt token.
	PromptTokenMillis float64 `json:"prompt_token_ms"`
	// CacheEntries is the size of the prefix cache. Prompts with the same first
	// PrefixBytes bytes share an entry.
	CacheEntries int `json:"cache_entries"`
	PrefixBytes  int `json:"prefix_bytes"`
	// LoadLagMillis is the age of the data in load reports.
	LoadLagMillis float64 `json:"load_lag_ms"`
	// ChecksFencing makes the engine reject orders whose fencing number is lower
	// than the highest one seen.
	ChecksFencing bool `json:"checks_fencing"`
	// OrderMillis is the execution time of an order.
	OrderMillis float64 `json:"order_ms"`
	// Spells configure random periods of slow execution.
	Spells SpellSettings `json:"spells"`
}

func (s EngineSettings) withDefaults() EngineSettings {
	setDefault(&s.Slots, 4)
	setDefault(&s.BaseTokenMillis, 20)
	setDefault(&s.NominalTokenMillis, 45)
	// Matches the service price of a prompt token: a tenth of a generated one.
	setDefault(&s.PromptTokenMillis, 2)
	setDefault(&s.CacheEntries, 64)
	setDefault(&s.PrefixBytes, 256)
	setDefault(&s.LoadLagMillis, 1000)
	setDefault(&s.OrderMillis, 200)
	return s
}

func setDefault[T int | float64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// TokenTime returns the time per token at the given batch size. Up to the nominal
// batch size, throughput grows with the batch. Beyond it, the time grows with the
// square of the batch size, so that overload lowers the throughput.
func (s EngineSettings) TokenTime(batch int) time.Duration {
	base, nominal := s.BaseTokenMillis, s.NominalTokenMillis
	if batch <= 1 {
		return millis(base)
	}
	if batch <= s.Slots {
		part := float64(batch-1) / float64(s.Slots-1)
		return millis(base + (nominal-base)*math.Pow(part, 1.2))
	}
	excess := float64(batch) / float64(s.Slots)
	return millis(nominal * excess * excess)
}

// Engine is a fake model engine with continuous batching. It is an http.Handler
// and safe for concurrent use.
type Engine struct {
	settings EngineSettings
	faults   *faultState
	mux      *http.ServeMux
	start    time.Time

	mu      sync.Mutex
	streams map[string]*stream
	ledger  map[string]*RunRecord
	cache   *prefixCache
	spells  *spells
	meter   meter
	orders  orderLog
}

// NewEngine returns an engine with an empty prefix cache and ledger.
func NewEngine(settings EngineSettings) *Engine {
	settings = settings.withDefaults()
	now := time.Now()
	e := &Engine{
		settings: settings,
		faults:   newFaultState(),
		mux:      http.NewServeMux(),
		start:    now,
		streams:  map[string]*stream{},
		ledger:   map[string]*RunRecord{},
		cache:    newPrefixCache(settings.CacheEntries, settings.PrefixBytes),
		spells:   newSpells(settings.Spells, now),
		meter:    newMeter(settings.Slots, now),
	}
	e.routes()
	return e
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// ResumeTokens is the number of tokens that earlier, stopped runs generated.
	ResumeTokens int `json:"resume_tokens"`
	// Seed determines the generated tokens, Length their number. Routers ignore
	// both.
	Seed   uint64 `json:"seed"`
	Length int    `json:"length"`
}

func (c CompletionRequest) length() int {
	if c.Length > 0 {
		return min(c.Length, c.MaxTokens)
	}
	return Length(c.Seed, c.MaxTokens)
}

// openStream returns the existing stream of the request id. It starts a new run if
// there is none or if it was stopped.
func (e *Engine) openStream(request CompletionRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.streams[request.RequestID]; known != nil && !known.isStopped() {
		return known
	}
	promptTokens := PromptTokens(request.Prompt) + request.ResumeTokens
	cached := min(e.cache.lookupAndStore(request.Prompt), promptTokens)
	s := newStream(request, ticket.Usage{
		PromptTokens: int64(promptTokens),
		CachedTokens: int64(cached),
	})
	e.streams[request.RequestID] = s
	e.recordRun(request)
	e.meter.change(time.Now(), +1)
	go e.run(s)
	return s
}

// recordRun counts a run in the ledger. The caller must hold e.mu.
func (e *Engine) recordRun(request CompletionRequest) {
	entry := e.ledger[request.RequestID]
	if entry == nil {
		entry = &RunRecord{}
		e.ledger[request.RequestID] = entry
	}
	if request.ResumeTokens > 0 {
		entry.Continuations++
		return
	}
	entry.Runs++
}

// run generates the tokens of s and removes it after the retention time.
func (e *Engine) run(s *stream) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.setStop(cancel)
	e.generate(ctx, s)
	s.finish()
	e.mu.Lock()
	e.meter.change(time.Now(), -1)
	e.mu.Unlock()
	e.expire(s)
}

// generate runs the prefill and the decoding steps of s until it is complete,
// stopped or abandoned.
func (e *Engine) generate(ctx context.Context, s *stream) {
	uncached := float64(s.promptUsage.PromptTokens - s.promptUsage.CachedTokens)
	due := time.Now()
	step := millis(uncached * e.settings.PromptTokenMillis)
	for !s.isComplete() && !s.isAbandoned(time.Now()) {
		due = due.Add(e.slowed(step))
		if pause.For(ctx, time.Until(due)) != nil {
			return
		}
		waited, err := e.faults.waitUnfrozen(ctx)
		if err != nil {
			return
		}
		if waited {
			due = time.Now()
		}
		if step = e.tokenTime(); e.needsDecode(s) {
			continue
		}
		e.emit(s)
	}
}

// needsDecode reports whether the step that just ended was the prefill. The first
// token takes one more decoding step.
func (e *Engine) needsDecode(s *stream) bool {
	return s.endPrefill()
}

func (e *Engine) emit(s *stream) {
	s.addToken()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.meter.tokens++
	e.ledger[s.request.RequestID].Tokens++
}

func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.TokenTime(e.meter.running)
}

// slowed returns the duration of a step with the slow spells and SlowFactor.
func (e *Engine) slowed(step time.Duration) time.Duration {
	e.mu.Lock()
	factor := e.spells.factor(time.Now())
	e.mu.Unlock()
	return e.faults.get().scale(time.Duration(float64(step) * factor))
}

// expire removes s after it has had no reader for streamRetention.
func (e *Engine) expire(s *stream) {
	for !s.isAbandoned(time.Now()) {
		_ = pause.For(context.Background(), streamRetention/10)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.request.RequestID] == s {
		delete(e.streams, s.request.RequestID)
	}
}
