//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// Sizes and times of the case grown-fleet.
const (
	firstRouters = 16
	addedRouters = 12
	engines      = 48
	tenants      = 60
	crashClients = 200
	addAfter     = 2 * time.Second // from the start of the traffic
	crashLength  = 105 * time.Second
	// changeEvery is the time between two versions of the configuration.
	changeEvery  = 1500 * time.Millisecond
	chatEvents   = 8
	chatInterval = 50 * time.Millisecond
)

// chatRunner is a sound model runner.
type chatRunner struct {
	id string

	mu  sync.Mutex
	ran map[string]bool
}

func (r *chatRunner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if request.Header.Get("Target-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // nothing follows from an error
	r.mu.Lock()
	r.ran[id] = true
	r.mu.Unlock()
	w.Header().Set("Response-Seal", "seal-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= chatEvents; i++ {
		select {
		case <-time.After(chatInterval):
		case <-request.Context().Done():
			return
		}
		if _, err := io.WriteString(w, site.StreamBody(i, i)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // an error shows at the next write
	}
}

// crashOutcome is one request whose connection ended without an answer.
type crashOutcome struct {
	id, router string
	kept       bool // the connection had served a request before
	status     int
	at         time.Time
}

// grownFleet adds routers to a running system and watches for processes that end by
// themselves.
func grownFleet(b *bench) (int, error) {
	var list []any
	for t := range tenants {
		list = append(list, map[string]any{"name": fmt.Sprintf("tenant-%d", t), "api_keys": []string{fmt.Sprintf("key-%d", t)}, "priority": 1})
	}
	configure := func(version int) {
		chat := route("chat", "stream", "engines", 12000+version, 800, 1)
		chat["gap_aim_ms"] = 300
		b.store.Put("config", "main", map[string]any{
			"version": version, "routes": []any{chat}, "tenants": list,
			"services": []any{map[string]any{"name": "engines", "health_path": "/health", "max_conns": 370, "engine": map[string]any{"slots": 64, "kv_capacity": 700000}}},
			"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 1600000},
		})
	}
	configure(1)
	var runners []*chatRunner
	for i := range engines {
		r := &chatRunner{id: fmt.Sprintf("i-engine-%d", i), ran: map[string]bool{}}
		if err := b.serve(r.id, "engines", 100+i, r); err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	var mu sync.Mutex
	over := false
	ends := map[string]int{}
	begun := time.Now()
	// run starts a router and starts it again when it has ended by itself.
	run := func(r *router) error {
		if err := r.start(); err != nil {
			return err
		}
		go func() {
			for {
				mu.Lock()
				ended := r.ended
				mu.Unlock()
				<-ended
				mu.Lock()
				if over {
					mu.Unlock()
					return
				}
				ends[r.name]++
				b.note("%s has ended by itself: %s", r.name, b.lastWords(r))
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				mu.Lock()
				if over {
					mu.Unlock()
					return
				}
				err := r.start()
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
		return nil
	}
	for n := range firstRouters {
		if err := run(b.addRouter(n + 1)); err != nil {
			return 0, err
		}
	}
	if err := b.waitReady(b.routers...); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	begun = time.Now()
	stop := make(chan struct{})
	var cut []crashOutcome
	sent := 0
	targets := firstRouters
	var clients sync.WaitGroup
	for n := range crashClients {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			target := b.routers[n%firstRouters]
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			kept := false
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
				}
				if i%40 == 39 {
					mu.Lock()
					target = b.routers[rng.IntN(targets)]
					mu.Unlock()
					client.CloseIdleConnections()
					kept = false
				}
				id := fmt.Sprintf("c%d-%d", n, i)
				status, err := b.chatRequest(client, id, target.address(), n%tenants, rng.IntN(40))
				mu.Lock()
				sent++
				if err != nil {
					cut = append(cut, crashOutcome{id, target.name, kept, status, time.Now()})
				}
				mu.Unlock()
				kept = err == nil
			}
		})
	}
	time.Sleep(addAfter)
	if b.trouble {
		for n := range addedRouters {
			mu.Lock()
			r := b.addRouter(firstRouters + n + 1)
			mu.Unlock()
			if err := run(r); err != nil {
				return 0, err
			}
		}
		b.note("%d routers were added", addedRouters)
		time.Sleep(time.Second)
		mu.Lock()
		targets = len(b.routers)
		mu.Unlock()
	}
	for version := 2; time.Since(begun) < crashLength; version++ {
		configure(version)
		time.Sleep(changeEvery)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	over = true
	mu.Unlock()

	ran := map[string]bool{}
	for _, r := range runners {
		r.mu.Lock()
		for id := range r.ran {
			ran[id] = true
		}
		r.mu.Unlock()
	}
	lost := 0
	for _, o := range cut {
		if o.kept && ran[o.id] {
			lost++
			b.note("LOST: %s, on a kept connection to %s and begun by a sound runner, ended without a complete answer (status %d)", o.id, o.router, o.status)
		}
	}
	total := 0
	for name, n := range ends {
		total += n
		b.note("%s ended by itself %d times", name, n)
	}
	b.note("%d requests, %d ended without a complete answer, %d of them on a kept connection and begun by a runner; %d processes ended by themselves", sent, len(cut), lost, total)
	if sent < 1000 {
		return 0, fmt.Errorf("only %d requests were sent", sent)
	}
	if lost > 3 {
		b.note("LOST is broken")
		return broken, nil
	}
	b.note("LOST holds")
	return held, nil
}

// lastWords returns what a process wrote about its end.
func (b *bench) lastWords(r *router) string {
	data, err := os.ReadFile(filepath.Join(b.folder, r.name+".log"))
	if err != nil {
		return err.Error()
	}
	text := string(data)
	at := strings.LastIndex(text, "fatal error")
	if at < 0 {
		at = max(strings.LastIndex(text, "panic:"), 0)
	}
	lines := strings.Split(text[at:], "\n")
	return strings.Join(lines[:min(len(lines), 14)], " / ")
}

// errIncomplete reports a connection that ended without a complete answer.
var errIncomplete = errors.New("no complete answer")

// chatRequest sends one request for a stream and reads it. It returns errIncomplete if
// the connection ended before the answer did.
func (b *bench) chatRequest(client *http.Client, id, address string, tenant, topic int) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/chat/x", strings.NewReader(strings.Repeat("x", 800)))
	if err != nil {
		return 0, err
	}
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline", strconv.Itoa(12000))
	request.Header.Set("Authorization", fmt.Sprintf("Bearer key-%d", tenant))
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "826,40")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("aa:100,%x:98,%x:628", 4096+topic, id))
	response, err := client.Do(request)
	if err != nil {
		return 0, errIncomplete
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return response.StatusCode, errIncomplete
	}
	return response.StatusCode, nil
}
