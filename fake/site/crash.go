package site

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// restartAfter is how long a crashed runner is away.
	restartAfter = 700 * time.Millisecond
	// listenRetry is the time between attempts to listen again on its address.
	listenRetry = 20 * time.Millisecond
)

// SetDeadlyPart makes the runner crash whenever it begins to write an answer to a
// request whose prompt has a part with that id; an empty id ends that.
func (r *Runner) SetDeadlyPart(id string) { r.deadlyPart.Store(&id) }

// Crashes returns when the runner has crashed.
func (r *Runner) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.crashes)
}

// isDeadly reports whether a prompt has the deadly part.
func (r *Runner) isDeadly(prompt string) bool {
	part := r.deadlyPart.Load()
	return part != nil && *part != "" && HasPart(prompt, *part)
}

// HasPart reports whether a prompt has a part with an id.
func HasPart(prompt, id string) bool {
	for entry := range strings.SplitSeq(prompt, ",") {
		if part, _, _ := strings.Cut(entry, ":"); part == id {
			return true
		}
	}
	return false
}

// trackConnection keeps the open connections, which a crash resets.
func (r *Runner) trackConnection(c net.Conn, state http.ConnState) {
	r.connectionsMu.Lock()
	defer r.connectionsMu.Unlock()
	switch state {
	case http.StateNew:
		r.connections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.connections, c)
	}
}

// Crash resets all connections and refuses new ones until the runner starts again, as a
// new incarnation that has nothing cached.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.closed {
		return
	}
	r.down = true
	r.crashes = append(r.crashes, time.Now())
	r.resetAtClose()
	_ = r.server.Close()
	if r.OnCrash != nil {
		r.OnCrash()
	}
	clear(r.cached)
	time.AfterFunc(restartAfter, r.startAgain)
}

// resetAtClose makes the open connections end with a reset when they are closed.
func (r *Runner) resetAtClose() {
	r.connectionsMu.Lock()
	defer r.connectionsMu.Unlock()
	for c := range r.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // an error means that the connection has ended
		}
	}
}

func (r *Runner) startAgain() {
	for !r.isClosed() {
		listener, err := net.Listen("tcp", r.Address())
		if err != nil {
			time.Sleep(listenRetry) // connections of the crashed process may still end
			continue
		}
		r.serve(listener)
		if r.OnStartAgain != nil {
			r.OnStartAgain()
		}
		r.Restart()
		return
	}
}

func (r *Runner) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}
