//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// Times of the case returned-runner.
const (
	drainBound   = 2500 * time.Millisecond
	contactBound = 3 * time.Second
	// serveLonger is how long a runner serves beyond drainBound after its removal.
	serveLonger = 2500 * time.Millisecond

	storeAway     = 4500 * time.Millisecond
	settle        = 3300 * time.Millisecond // after the store is back; longer than contact_ms
	killAfter     = time.Second             // from the removal of a runner to the kill of a router
	restartAfter  = 500 * time.Millisecond
	watchRemoved  = 5500 * time.Millisecond // from the removal until the next round
	rounds        = 8
	streamEvents  = 20
	eventInterval = 60 * time.Millisecond
	streamClients = 18
)

// streamRunner runs streams until it exits.
type streamRunner struct {
	bench *bench
	id    string
	index int // of its address

	mu       sync.Mutex
	removed  time.Time // when the store acknowledged the removal of its entry; zero before
	exited   chan struct{}
	arrivals map[string]time.Time
}

func (r *streamRunner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if request.Header.Get("Target-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // nothing follows from an error
	r.mu.Lock()
	r.arrivals[id] = time.Now()
	if !r.removed.IsZero() {
		r.bench.note("runner %s begins to run %s, %d ms after its removal was acknowledged", r.id, id, time.Since(r.removed).Milliseconds())
	}
	r.mu.Unlock()
	w.Header().Set("Response-Seal", "seal-"+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := 1; i <= streamEvents; i++ {
		select {
		case <-time.After(eventInterval):
		case <-r.exited:
			panic(http.ErrAbortHandler) // the process has ended
		case <-request.Context().Done():
			return
		}
		if _, err := io.WriteString(w, site.StreamBody(i, i)); err != nil {
			return
		}
		_ = controller.Flush() // an error shows at the next write
	}
}

// streamOutcome is what a client saw of one stream.
type streamOutcome struct {
	router   string
	status   int
	events   int
	complete bool
}

// returnedRunner takes the store away and, some seconds after its return, removes a
// runner and kills the router that watches the store.
func returnedRunner(b *bench) (int, error) {
	routes := []any{route("chat", "stream", "first", 12000, 800, 1)}
	version := int64(1)
	b.configure(version, routes, "first")
	var runners []*streamRunner
	add := func() error {
		r := &streamRunner{bench: b, id: fmt.Sprintf("i-first-%d", len(runners)), index: 100 + len(runners), exited: make(chan struct{}), arrivals: map[string]time.Time{}}
		runners = append(runners, r)
		b.note("runner %s registers", r.id)
		return b.serve(r.id, "first", r.index, r)
	}
	for range 4 {
		if err := add(); err != nil {
			return 0, err
		}
	}
	first, second, third := b.addRouter(1), b.addRouter(2), b.addRouter(3)
	// All routers start within 0.3 s, in any order.
	for _, r := range []*router{second, third} {
		if err := r.start(); err != nil {
			return 0, err
		}
	}
	time.Sleep(250 * time.Millisecond)
	if err := first.start(); err != nil {
		return 0, err
	}
	if err := b.waitReady(b.routers...); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var mu sync.Mutex
	outcomes := map[string]streamOutcome{}
	var clients sync.WaitGroup
	for n := range streamClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				id, target := fmt.Sprintf("c%d-%d", n, i), b.routers[(n+i)%len(b.routers)]
				o := b.streamRequest(client, id, target)
				mu.Lock()
				outcomes[id] = o
				mu.Unlock()
			}
		})
	}

	outOfTouch := [][2]time.Time{} // of the first router
	var exits sync.WaitGroup
	for round := range rounds {
		if b.trouble {
			b.note("the store is silent")
			b.store.SetFault(site.NoResponse)
			time.Sleep(storeAway)
			b.store.SetFault(site.NoFault)
			b.note("the store is back")
		}
		version++
		b.configure(version, routes, "first")
		if err := add(); err != nil {
			return 0, err
		}
		time.Sleep(settle)

		leaving := runners[round]
		leaving.mu.Lock()
		b.store.Delete("servers", leaving.id)
		leaving.removed = time.Now()
		leaving.mu.Unlock()
		b.note("the store has acknowledged the removal of runner %s, which serves %d ms more", leaving.id, (drainBound + serveLonger).Milliseconds())
		exits.Go(func() {
			time.Sleep(drainBound + serveLonger)
			close(leaving.exited)
			_ = b.servers[leaving.index-100].Close()
			b.note("runner %s has exited", leaving.id)
		})
		removed := time.Now()
		if b.trouble {
			time.Sleep(killAfter)
			first.signal(9)
			<-first.ended
			killed := time.Now()
			time.Sleep(restartAfter)
			if err := first.start(); err != nil {
				return 0, err
			}
			outOfTouch = append(outOfTouch, [2]time.Time{killed.Add(-50 * time.Millisecond), time.Now().Add(contactBound)})
		}
		time.Sleep(time.Until(removed.Add(watchRemoved)))
	}
	close(stop)
	clients.Wait()
	exits.Wait()

	inTouch := func(o streamOutcome, at time.Time) bool {
		if o.router != first.name {
			return true
		}
		for _, span := range outOfTouch {
			if at.After(span[0]) && at.Before(span[1]) {
				return false
			}
		}
		return true
	}
	late, lost := 0, 0
	for _, r := range runners {
		for id, at := range r.arrivals {
			o := outcomes[id]
			if r.removed.IsZero() || at.Sub(r.removed) <= drainBound || !inTouch(o, at) {
				continue
			}
			late++
			if !o.complete {
				lost++
			}
			b.note("DRAIN: %s by way of %s reached runner %s %d ms after the acknowledgement; the client got status %d, %d of %d events, complete %v",
				id, o.router, r.id, at.Sub(r.removed).Milliseconds(), o.status, o.events, streamEvents, o.complete)
		}
	}
	b.note("%d requests, %d of them reached a runner later than drain_ms after the acknowledgement, %d of these were lost with the exit of the runner", len(outcomes), late, lost)
	if len(outcomes) < 200 {
		return 0, fmt.Errorf("only %d requests were sent", len(outcomes))
	}
	if late > 0 {
		b.note("DRAIN is broken")
		return broken, nil
	}
	b.note("DRAIN holds")
	return held, nil
}

// streamRequest sends one request for a stream and reads it.
func (b *bench) streamRequest(client *http.Client, id string, target *router) (o streamOutcome) {
	o.router = target.name
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.address()+"/chat/x", strings.NewReader("prompt"))
	if err != nil {
		return o
	}
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline", strconv.Itoa(12000))
	request.Header.Set("Authorization", "Bearer "+key)
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		b.note("client: %s by way of %s: %v", id, target.name, err)
		return o
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.status, o.complete = response.StatusCode, err == nil && response.StatusCode == http.StatusOK
	o.events = strings.Count(string(body), "id: ")
	b.note("client: %s by way of %s: status %d, %d events, complete %v, %d ms", id, target.name, o.status, o.events, o.complete, time.Since(sent).Milliseconds())
	return o
}
