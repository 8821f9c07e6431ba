package fake

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/pause"
)

// PlainSettings configure a fake plain service. Zero values mean defaults.
type PlainSettings struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// Slots is the number of concurrent calls that run at full speed.
	Slots int `json:"slots"`
	// ServiceMillis is the run time of a call at full speed.
	ServiceMillis float64 `json:"service_ms"`
}

// Plain is a fake application service. It does not deduplicate calls by
// idempotency key, so that duplicate runs show in its ledger. It is an
// http.Handler and safe for concurrent use.
type Plain struct {
	settings PlainSettings
	faults   *faultState
	mux      *http.ServeMux
	start    time.Time

	mu     sync.Mutex
	ledger map[string]int
	calls  int64
	meter  meter
}

// NewPlain returns a plain service with an empty ledger.
func NewPlain(settings PlainSettings) *Plain {
	setDefault(&settings.Slots, 8)
	setDefault(&settings.ServiceMillis, 40)
	now := time.Now()
	p := &Plain{
		settings: settings,
		faults:   newFaultState(),
		mux:      http.NewServeMux(),
		start:    now,
		ledger:   map[string]int{},
		meter:    newMeter(settings.Slots, now),
	}
	p.mux.HandleFunc("POST /orders", p.serveWrite("order"))
	p.mux.HandleFunc("POST /deposits", p.serveWrite("deposit"))
	p.mux.HandleFunc("GET /orders/{id}", p.serveRead("order"))
	p.mux.HandleFunc("GET /deposits/{id}", p.serveRead("deposit"))
	p.mux.HandleFunc("GET /control", p.serveStatus)
	p.mux.HandleFunc("POST /control", p.serveControl)
	return p
}

// SetFaults replaces the injected faults.
func (p *Plain) SetFaults(f Faults) { p.faults.set(f) }

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// PlainResponse is the response of a plain call. It depends only on the request,
// so that callers can check it.
type PlainResponse struct {
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	Status string `json:"status"`
}

// WriteResponse returns the response of a write with the given idempotency key.
func WriteResponse(kind, key string) PlainResponse {
	return PlainResponse{Kind: kind, ID: strconv.FormatUint(xxhash.Sum64String(key), 16), Status: "committed"}
}

// ReadResponse returns the response of a read.
func ReadResponse(kind, id string) PlainResponse {
	return PlainResponse{Kind: kind, ID: id, Status: "known"}
}

func (p *Plain) serveWrite(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.faults.admit(w, r) {
			return
		}
		key, err := writeKey(r)
		if err != nil {
			writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
			return
		}
		p.countRun(key)
		p.simulateRun()
		p.answer(w, r, http.StatusCreated, WriteResponse(kind, key))
	}
}

// writeKey returns the idempotency key from the header or else from the body.
func writeKey(r *http.Request) (string, error) {
	var body struct {
		Key string `json:"idempotency_key"`
	}
	if err := readJSON(r, &body); err != nil {
		return "", err
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key, nil
	}
	return body.Key, nil
}

func (p *Plain) serveRead(kind string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.faults.admit(w, r) {
			return
		}
		p.simulateRun()
		p.answer(w, r, http.StatusOK, ReadResponse(kind, r.PathValue("id")))
	}
}

func (p *Plain) countRun(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger[key]++
}

// simulateRun simulates the run of one call. It continues if the caller
// disconnects, because a started write takes effect.
func (p *Plain) simulateRun() {
	p.mu.Lock()
	p.calls++
	p.meter.change(time.Now(), +1)
	slowdown := max(1, float64(p.meter.running)/float64(p.settings.Slots))
	p.mu.Unlock()
	d := p.faults.get().scale(millis(p.settings.ServiceMillis * slowdown))
	_ = pause.For(context.Background(), d)
	p.mu.Lock()
	p.meter.change(time.Now(), -1)
	p.mu.Unlock()
}

func (p *Plain) answer(w http.ResponseWriter, r *http.Request, status int, answer PlainResponse) {
	if _, err := p.faults.waitUnfrozen(r.Context()); err != nil {
		return
	}
	if faults := p.faults.get(); faults.LoseAnswers || faults.Drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

func (p *Plain) serveControl(w http.ResponseWriter, r *http.Request) {
	if err := p.faults.update(r.Body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	p.serveStatus(w, r)
}

// PlainStatus is the response of GET /control of a plain service. Ledger counts
// runs by idempotency key.
type PlainStatus struct {
	Settings   PlainSettings  `json:"settings"`
	Faults     Faults         `json:"faults"`
	Ledger     map[string]int `json:"ledger"`
	Calls      int64          `json:"calls"`
	Running    int            `json:"running"`
	BusyMillis float64        `json:"busy_ms"`
	SlotMillis float64        `json:"slot_ms"`
	UpMillis   float64        `json:"up_ms"`
	MaxRunning int            `json:"max_running"`
}

// Status returns the current state, ledger and counters.
func (p *Plain) Status() PlainStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.meter.change(now, 0)
	ledger := make(map[string]int, len(p.ledger))
	for key, runs := range p.ledger {
		ledger[key] = runs
	}
	return PlainStatus{
		Settings:   p.settings,
		Faults:     p.faults.get(),
		Ledger:     ledger,
		Calls:      p.calls,
		Running:    p.meter.running,
		BusyMillis: inMillis(p.meter.busy),
		SlotMillis: inMillis(p.meter.slotTime),
		UpMillis:   inMillis(now.Sub(p.start)),
		MaxRunning: p.meter.maxRunning,
	}
}

func (p *Plain) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Status())
}
