package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is an instance of a plain service. It registers in the store, renews its entry and
// notes what it runs.
type runner struct {
	id, zone string
	work     time.Duration
	d        *deployment
	listener net.Listener
	server   *http.Server
	born     int64
	stop     chan struct{}

	mu   sync.Mutex
	seq  int
	runs map[string]time.Time // by request id
	// retryAfter is the Retry-After, in seconds, of the refusals of all requests; empty while
	// the runner serves.
	retryAfter string
	arrivals   []arrival
}

// arrival is a request that reached the runner.
type arrival struct {
	id      string
	at      time.Time
	refused bool // with a Retry-After
}

const (
	service     = "bookings-app"
	runnerSlots = 6
)

func startRunner(d *deployment, id, zone, address string) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, zone: zone, work: 20 * time.Millisecond, d: d, listener: listener, born: time.Now().UnixMilli(),
		stop: make(chan struct{}), runs: map[string]time.Time{},
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }() // ends with close
	r.register()
	go r.renew()
	d.runners = append(d.runners, r)
	return r, nil
}

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	r.d.store.Put("servers", r.id, map[string]any{
		"service": service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1",
		"slots": runnerSlots, "state": "ready", "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	})
}

func (r *runner) renew() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
			r.register()
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=15")
	if target := request.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if retryAfter := r.arrive(id); retryAfter != "" {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // an error shows in the context
	r.mu.Lock()
	r.runs[id] = time.Now()
	r.mu.Unlock()
	time.Sleep(r.work)
	w.Header().Set("Response-Seal", "seal."+r.id+"."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("1,0,%d,100", runnerSlots))
	_, _ = io.WriteString(w, strings.Repeat("x", 800)) // an error means that the router has left
}

// arrive notes the arrival of a request. It returns the Retry-After of its refusal, empty if
// the request is served.
func (r *runner) arrive(id string) (retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), refused: r.retryAfter != ""})
	return r.retryAfter
}

// turnAway makes the runner refuse all requests with a Retry-After, or serve if it is empty.
func (r *runner) turnAway(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAfter = retryAfter
}

// ran reports whether a request ran here.
func (r *runner) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ran := r.runs[id]
	return ran
}

func (r *runner) close() {
	close(r.stop)
	_ = r.server.Close()
}
