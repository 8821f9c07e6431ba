//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pathRequests is how many requests the case changed-path sends of each path.
const pathRequests = 20

// pathRunner records the request lines that it runs.
type pathRunner struct {
	bench *bench
	id    string

	mu  sync.Mutex
	ran map[string]string // method, target and host by request id
}

func (r *pathRunner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if request.Header.Get("Target-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // nothing follows from an error
	r.mu.Lock()
	r.ran[id] = request.Method + " " + request.RequestURI + " host " + request.Host
	r.mu.Unlock()
	r.bench.note("runner %s runs %s: %s %s, host %s", r.id, id, request.Method, request.RequestURI, request.Host)
	w.Header().Set("Response-Seal", "seal-"+r.id)
	_, _ = io.WriteString(w, "done\n") // an error means that the router has disconnected
}

// changedPath adds a route for all paths of a host while clients request, among others,
// a path that begins with an empty segment.
func changedPath(b *bench) (int, error) {
	reports := route("report", "non_idempotent", "first", 2500, 300, 1)
	b.configure(1, []any{reports}, "first")
	var runners []*pathRunner
	for i := range 3 {
		r := &pathRunner{bench: b, id: fmt.Sprintf("i-first-%d", i), ran: map[string]string{}}
		if err := b.serve(r.id, "first", 100+i, r); err != nil {
			return 0, err
		}
		runners = append(runners, r)
		if err := b.addRouter(i + 1).start(); err != nil {
			return 0, err
		}
	}
	if err := b.waitReady(b.routers...); err != nil {
		return 0, err
	}
	if b.trouble {
		rest := route("rest", "non_idempotent", "first", 2500, 300, 1)
		rest["path_prefix"] = "/"
		b.configure(2, []any{reports, rest}, "first")
	}
	time.Sleep(4 * time.Second) // longer than config_ms

	sent := map[string]string{}
	for i := range pathRequests {
		for n, path := range []string{"/report/x?a=1", "//archive/x?a=1"} {
			id := fmt.Sprintf("c%d-%d", n, i)
			sent[id] = "POST " + path + " host " + hostName
			status, err := b.rawRequest(b.routers[i%len(b.routers)].address(), id, path)
			b.note("client: %s, POST %s, host %s: status %d, %v", id, path, hostName, status, err)
		}
	}
	time.Sleep(time.Second)

	changed, ran := 0, 0
	for _, r := range runners {
		r.mu.Lock()
		for id, line := range r.ran {
			ran++
			if sent[id] != line {
				changed++
				b.note("UNASKED: %s was sent as %q and run as %q", id, sent[id], line)
			}
		}
		r.mu.Unlock()
	}
	b.note("%d requests ran, %d of them with another path or host than the client's", ran, changed)
	if ran < pathRequests {
		return 0, fmt.Errorf("only %d requests ran", ran)
	}
	if changed > 0 {
		b.note("UNASKED is broken")
		return broken, nil
	}
	b.note("UNASKED holds")
	return held, nil
}

// rawRequest sends a request with exactly the given target and returns its status.
func (b *bench) rawRequest(address, id, target string) (status int, err error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second)) // an error shows at the next call
	body := strings.Repeat("x", 600)
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		target, hostName, id, key, len(body), body)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
