//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case cut-answers.
const (
	cutTimeout  = 2500 * time.Millisecond // of the route, as on the sheets for plain requests
	cutDeadline = 5 * time.Second         // of the clients
	// answerBytes is the size of every answer. Runners of the first service take quickTime
	// to send it, those of the second one steadyTime, at an even pace.
	answerBytes = 256 << 10
	quickTime   = 200 * time.Millisecond
	steadyTime  = 1200 * time.Millisecond
	pieces      = 64

	cutClients  = 6
	moveAfter   = 8 * time.Second  // from the start of the traffic
	moveBack    = 11 * time.Second // as above
	cutLength   = 20 * time.Second // as above
	configBound = 2500 * time.Millisecond
)

// steadyRunner sends long answers at an even pace.
type steadyRunner struct {
	bench *bench
	id    string
	time  time.Duration
	// finished and brokenOff count answers that were sent whole, and those whose
	// connection the router closed.
	finished, brokenOff atomic.Int64
}

func (r *steadyRunner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := request.Header.Get("Target-Instance"); target != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	start := time.Now()
	r.bench.note("runner %s begins to run %s", r.id, id)
	w.Header().Set("Response-Seal", "seal-"+r.id)
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	piece := make([]byte, answerBytes/pieces)
	for i := range piece {
		piece[i] = 'x'
	}
	controller := http.NewResponseController(w)
	for i := range pieces {
		select {
		case <-time.After(time.Until(start.Add(r.time * time.Duration(i+1) / pieces))):
		case <-request.Context().Done():
			r.brokenOff.Add(1)
			r.bench.note("runner %s: the router closed the connection of %s after %d of %d bytes, %d ms after it began", r.id, id, i*len(piece), answerBytes, time.Since(start).Milliseconds())
			return
		}
		if _, err := w.Write(piece); err != nil {
			r.brokenOff.Add(1)
			return
		}
		_ = controller.Flush() // an error shows at the next write
	}
	r.finished.Add(1)
	r.bench.note("runner %s has sent all of %s", r.id, id)
}

// cutOutcome is what a client saw of one request.
type cutOutcome struct {
	sent, ended time.Time
	status      int
	bytes       int
	complete    bool
}

// cutAnswers moves a route to another service whose sound runners need longer for their
// answers, and back.
func cutAnswers(b *bench) (int, error) {
	routes := func(service string) []any {
		return []any{route("report", "idempotent", service, int(cutTimeout.Milliseconds()), 300, 2)}
	}
	b.configure(1, routes("first"), "first", "second")
	var runners []*steadyRunner
	for i := range 6 {
		r := &steadyRunner{bench: b, id: fmt.Sprintf("i-first-%d", i), time: quickTime}
		service := "first"
		if i >= 3 {
			r.id, r.time, service = fmt.Sprintf("i-second-%d", i), steadyTime, "second"
		}
		if err := b.serve(r.id, service, 100+i, r); err != nil {
			return 0, err
		}
		runners = append(runners, r)
	}
	for n := range 3 {
		if err := b.addRouter(n + 1).start(); err != nil {
			return 0, err
		}
	}
	if err := b.waitReady(b.routers...); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)

	begun := time.Now()
	var mu sync.Mutex
	var outcomes []cutOutcome
	var clients sync.WaitGroup
	for n := range cutClients {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; time.Since(begun) < cutLength; i++ {
				o := b.cutRequest(client, fmt.Sprintf("c%d-%d", n, i), b.routers[(n+i)%len(b.routers)].address())
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	var planned []time.Time // acknowledgements
	if b.trouble {
		time.Sleep(time.Until(begun.Add(moveAfter)))
		b.configure(2, routes("second"), "first", "second")
		planned = append(planned, time.Now())
		time.Sleep(time.Until(begun.Add(moveBack)))
		b.configure(3, routes("first"), "first", "second")
		planned = append(planned, time.Now())
	}
	clients.Wait()

	// Around planned work: from the sending of a version until config_ms + 1 s after its
	// acknowledgement.
	around := func(t time.Time) bool {
		for _, p := range planned {
			if t.After(p.Add(-50*time.Millisecond)) && t.Before(p.Add(configBound+time.Second)) {
				return true
			}
		}
		return false
	}
	var cut, other, aroundAll, otherAll, notFinished int
	for _, o := range outcomes {
		// A request that has used seven tenths of its time is not counted.
		lost := !o.complete && o.ended.Sub(o.sent) < cutTimeout*7/10
		switch {
		case around(o.ended):
			aroundAll++
			if lost {
				cut++
			}
		default:
			otherAll++
			if lost {
				other++
			}
		}
		if !o.complete {
			notFinished++
		}
	}
	var brokenOff int64
	for _, r := range runners {
		b.note("runner %s: %d answers sent whole, %d cut by routers", r.id, r.finished.Load(), r.brokenOff.Load())
		brokenOff += r.brokenOff.Load()
	}
	b.note("around the changes of the configuration: %d requests, %d of them cut; at other times: %d requests, %d of them cut; incomplete in all: %d", aroundAll, cut, otherAll, other, notFinished)
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	if cut > 0 && share(cut, aroundAll) > 3*share(other, otherAll) {
		b.note("LOST is broken")
		return broken, nil
	}
	b.note("LOST holds")
	return held, nil
}

// cutRequest sends one request on a kept connection and reads its answer.
func (b *bench) cutRequest(client *http.Client, id, address string) (o cutOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), cutDeadline)
	defer cancel()
	o.sent = time.Now()
	defer func() {
		o.ended = time.Now()
		b.note("client: %s at %s: status %d, %d bytes, complete %v, after %d ms", id, address, o.status, o.bytes, o.complete, o.ended.Sub(o.sent).Milliseconds())
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report/x", nil)
	if err != nil {
		return o
	}
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline", strconv.Itoa(int(cutDeadline.Milliseconds())))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	o.status, o.bytes, o.complete = response.StatusCode, int(n), err == nil
	return o
}
