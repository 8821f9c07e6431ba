package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// oddAfter is the time of traffic before another writer adds its entry, oddFor how long
	// the callers go on.
	oddAfter = 3 * time.Second
	oddFor   = 8 * time.Second
)

// stranger is a server that is no runner. It does what it is asked to do and answers.
type stranger struct {
	d        *deployment
	listener net.Listener
	server   *http.Server

	mu  sync.Mutex
	ran map[string]int // requests by method
}

func startStranger(d *deployment, address string) (*stranger, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &stranger{d: d, listener: listener, ran: map[string]int{}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *stranger) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	s.mu.Lock()
	s.ran[request.Method]++
	s.mu.Unlock()
	s.d.note("the server that is no runner got and ran %s %s, request %s", request.Method, request.URL.Path, id)
	_, _ = io.WriteString(w, "done\n") // an error means that the router has left
}

// oddEntry lets another writer add an entry with missing fields among those of the runners.
// The rule is broken if a request runs at the address in it.
func oddEntry(d *deployment) (ruleHeld bool, err error) {
	d.store.Put("config", "main", configuration(1, key))
	for i, zone := range zones {
		if _, err := startRunner(d, fmt.Sprintf("i-%d", i+1), zone, fmt.Sprintf("%s.%d.101:8443", d.network, i+1)); err != nil {
			return false, err
		}
	}
	other, err := startStranger(d, d.network+".1.150:8443")
	if err != nil {
		return false, err
	}
	defer other.server.Close()
	if err := d.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(leadTime - time.Since(d.began))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var c callers
	var done sync.WaitGroup
	for _, r := range d.routers {
		done.Go(func() { c.run(ctx, r) })
		done.Go(func() { c.charge(ctx, r) })
	}
	time.Sleep(oddAfter)
	if d.trouble {
		entry := map[string]any{"service": service, "address": other.listener.Addr().String(), "zone": zones[0], "slots": runnerSlots, "state": "ready"}
		d.store.Put("servers", "other-writer", entry)
		d.note("another writer adds the entry %v, without version, cold_left_ms, seq and born", entry)
	}
	time.Sleep(oddFor)
	cancel()
	done.Wait()
	d.noteCalls(c.calls)
	failed := map[int]int{}
	for _, one := range c.calls {
		failed[one.status]++
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	d.note("answers to the callers by status: %v", failed)
	d.note("requests that the server that is no runner has run, by method: %v", other.ran)
	return len(other.ran) == 0, nil
}
