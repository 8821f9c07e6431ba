package site

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how a runner treats requests.
type Behaviour uint8

// Behaviours of a runner.
const (
	Healthy             Behaviour = iota
	Failing                       // responds with 500
	Shedding                      // responds with 503 and does not run the request
	Hanging                       // accepts requests and never responds
	Truncating                    // breaks off every response in the middle
	Unsealed                      // responds without a seal
	Misdirected                   // responds that it is another instance
	WrongRequestID                // responds with the id of another request
	EndlessHead                   // sends a response head without end
	EndlessBody                   // sends a body without end and, in a stream, without events
	StalledEvent                  // sends StalledEventBytes of a body without an event, and then nothing
	RepeatedAnswer                // sends a plain answer again when the next request arrives on its connection
	AnonymousRepeat               // as RepeatedAnswer, without a request id in the second copy
	Dripping                      // sends a comment line now and then in place of events
	SlowStream                    // pauses for SlowPause in the middle of a stream
	DocumentAnswer                // answers a request for a stream with a JSON document
	UntypedText                   // as DocumentAnswer, with a text and without a content type
	RejectingText                 // responds with 400 and a text
	ErrorEvent                    // answers a request for a stream with an event without an id
	IgnoresLastEvent              // starts a stream from its first event, whatever the request says
	SkipsEvent                    // leaves out the first event of the rest of a stream
	RepeatedRefusal               // refuses the first request of a connection, and does so again when it runs the next one
	AnonymousRefusal              // as RepeatedRefusal, without a request id in the second copy
	UnavailableAfterRun           // responds with 503 to a request that it has run
	Unframed                      // sends neither a length nor chunks; the connection ends the answer
	UnframedCut                   // as Unframed, and closes the connection inside an event of a stream
	UnframedReset                 // as Unframed, and resets the connection in the middle of an answer
	UnframedEmpty                 // as Unframed, and closes the connection before the first event of a stream
)

// SlowPause is the pause in a SlowStream. DripInterval is the time between two
// comment lines of a Dripping runner.
const (
	SlowPause = 1800 * time.Millisecond
	// StalledEventBytes is the size of the event that a StalledEvent runner begins.
	StalledEventBytes = 1000 << 10
	DripInterval      = 300 * time.Millisecond
)

// connectionKey is the context key of a caller's connection.
type connectionKey struct{}

// runnerConnection is a connection with the latest answer that was sent on it.
type runnerConnection struct {
	net.Conn
	answer string // whole, with its headers; empty before the first one
}

// Runner is a model engine or an instance of a plain service. It is safe for
// concurrent use.
type Runner struct {
	ID      string
	Service string
	Zone    string
	// Events is the length of a stream; 0 makes a plain runner.
	Events int
	// WorkTime is the time for a plain response, or the time to read 1,000 tokens.
	WorkTime time.Duration
	// EventInterval is the time between events.
	EventInterval time.Duration
	// Slots is the number of streams that run at once, 8 if 0; more have to wait.
	Slots int
	// RegisteredAddress is the address that the runner registers; by default its
	// own.
	RegisteredAddress string
	// OnCrash and OnStartAgain, if set, are called when the runner crashes and before it
	// starts again.
	OnCrash, OnStartAgain func()

	store         *Store
	listener      net.Listener
	server        *http.Server // guarded by mu
	behaviour     atomic.Uint32
	deadlyPart    atomic.Pointer[string] // id of a part of a prompt; nil or empty for none
	leaving       atomic.Bool
	retryAfter    atomic.Pointer[string] // value of Retry-After; nil or empty to serve
	endlessBytes  atomic.Int64
	readLock      sync.Mutex // prompts are read one after the other
	slotSemaphore chan struct{}

	// connections holds the open connections. It has a lock of its own, since closing the
	// server waits for connections that are being added.
	connectionsMu sync.Mutex
	connections   map[net.Conn]bool

	mu         sync.Mutex
	runs       map[string]int // by request id
	lastStart  time.Time      // start of the latest run
	headers    map[string]http.Header
	state      string
	born       int64 // start of the incarnation in Unix milliseconds
	seq        int64 // number of renewals of the entry
	arrivals   []Arrival
	running    int
	cached     map[string]bool // prompt prefixes whose parts are cached
	tokensRead int             // prompt tokens read so far
	crashes    []time.Time
	down       bool // crashed and not yet started again
	closed     bool // for good
}

const (
	defaultSlots = 8
	firstBorn    = 1_700_000_000_000
	// maxCachedPrefixes is the number of prefixes above which the cache is emptied.
	maxCachedPrefixes = 4096
)

// StartRunner starts a runner on address and registers it in the store.
func StartRunner(store *Store, address string, r *Runner) (*Runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r.store, r.listener, r.state, r.born = store, listener, "ready", firstBorn
	r.runs, r.headers, r.cached, r.connections = map[string]int{}, map[string]http.Header{}, map[string]bool{}, map[net.Conn]bool{}
	if r.Slots == 0 {
		r.Slots = defaultSlots
	}
	r.slotSemaphore = make(chan struct{}, r.Slots)
	r.serve(listener)
	r.register()
	return r, nil
}

// serve serves on a listener in the background, until the server is closed.
func (r *Runner) serve(listener net.Listener) {
	server := &http.Server{Handler: r, ConnState: r.trackConnection, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &runnerConnection{Conn: c})
	}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server, r.down = server, false
	if r.closed {
		_ = listener.Close()
		return
	}
	go func() { _ = server.Serve(listener) }()
}

func (r *Runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put("servers", r.ID, map[string]any{
		"service": r.Service, "address": r.registeredAddress(), "zone": r.Zone, "slots": r.Slots, "state": r.state,
		"version": "v1", "cold_left_ms": 0, "seq": 1 + r.seq, "born": r.born,
	})
}

// Address returns the address on which the runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

func (r *Runner) registeredAddress() string {
	if r.RegisteredAddress != "" {
		return r.RegisteredAddress
	}
	return r.Address()
}

// SetBehaviour sets how requests are treated.
func (r *Runner) SetBehaviour(b Behaviour) { r.behaviour.Store(uint32(b)) }

// Drain registers the runner as draining. It continues to serve.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.register()
}

// Close stops the runner without deregistering it.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.server.Close()
}

// Runs returns how often each request has run here.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// LastStart returns when the latest run started.
func (r *Runner) LastStart() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStart
}

// PlainBody returns the body of a plain response to a request.
func PlainBody(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

// Document is what a DocumentAnswer sends.
const Document = `{"text":"answer"}`

// StreamBody returns the events of a stream from one number to another.
func StreamBody(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// Header returns the request headers of the latest run of a request, or nil if it
// never ran.
func (r *Runner) Header(id string) http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[id]
}

// Running returns the number of requests in progress.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	b := Behaviour(r.behaviour.Load())
	w.Header().Set("Request-Id", id)
	turnedAway := r.arrive(w, id, request.Header.Get("Prompt-Prefix"))
	if target := request.Header.Get("Target-Instance"); b == Misdirected || target != "" && target != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if turnedAway {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if (b == RepeatedRefusal || b == AnonymousRefusal) && r.refuseOnce(w, request, b) {
		return
	}
	if b == Shedding {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // net/http detects that a caller disconnects only after the body was read
	r.startRun(id, request.Header)
	defer r.endRun()
	switch b {
	case Hanging:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case EndlessHead:
		r.sendEndlessHead(w, request)
		return
	case WrongRequestID:
		w.Header().Set("Request-Id", "another")
	}
	if b != Unsealed {
		w.Header().Set("Response-Seal", "seal-"+r.ID)
	}
	if b == RepeatedAnswer || b == AnonymousRepeat {
		r.repeatAnswer(request, b)
	}
	if b >= Unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then leaves out the chunks
	}
	if b == Failing || b == UnavailableAfterRun {
		r.work(request, r.WorkTime)
		status := http.StatusInternalServerError
		if b == UnavailableAfterRun {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	if b == EndlessBody {
		r.sendEndless(w, request)
		return
	}
	if b == StalledEvent {
		r.sendStalled(w, request)
		return
	}
	if r.Events > 0 {
		r.stream(w, request, b)
		return
	}
	r.plain(w, request, b)
}

// connectionOf returns the connection of a request.
func connectionOf(request *http.Request) *runnerConnection {
	connection, ok := request.Context().Value(connectionKey{}).(*runnerConnection)
	if !ok {
		panic("request without a connection") // a bug in this package
	}
	return connection
}

// repeatAnswer sends the previous answer of the connection once more, and stores the
// one that the request will get.
func (r *Runner) repeatAnswer(request *http.Request, b Behaviour) {
	connection := connectionOf(request)
	_, _ = io.WriteString(connection, connection.answer) // an error means that the caller has disconnected
	id := request.Header.Get("Request-Id")
	body := PlainBody(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\n", r.ID, len(body))
	if b == RepeatedAnswer {
		head += "Request-Id: " + id + "\r\n"
	}
	connection.answer = head + "\r\n" + body
}

// refuseOnce refuses the first request of a connection and returns true. Before the next
// ones run it sends that refusal once more.
func (r *Runner) refuseOnce(w http.ResponseWriter, request *http.Request, b Behaviour) bool {
	connection := connectionOf(request)
	if connection.answer != "" {
		_, _ = io.WriteString(connection, connection.answer) // an error means that the caller has disconnected
		return false
	}
	connection.answer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
	if b == RepeatedRefusal {
		connection.answer += "Request-Id: " + request.Header.Get("Request-Id") + "\r\n"
	}
	connection.answer += "\r\n"
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// endlessChunk and endlessInterval are how a runner sends bytes without end: fast
// enough to pass each limit within a second, without filling the processor.
const (
	endlessChunk    = 64 << 10
	endlessInterval = time.Millisecond
)

// sendEndless sends bytes until the caller closes the connection.
func (r *Runner) sendEndless(w io.Writer, request *http.Request) {
	chunk := []byte(strings.Repeat("x", endlessChunk))
	for {
		n, err := w.Write(chunk)
		r.endlessBytes.Add(int64(n))
		if err != nil || !r.work(request, endlessInterval) {
			return
		}
	}
}

// sendStalled sends the begin of an event and waits until the caller closes the
// connection.
func (r *Runner) sendStalled(w http.ResponseWriter, request *http.Request) {
	if _, err := io.WriteString(w, strings.Repeat("x", StalledEventBytes)); err != nil {
		return
	}
	_ = http.NewResponseController(w).Flush() // an error shows in the context
	<-request.Context().Done()
}

// EndlessBytes returns how many bytes EndlessHead and EndlessBody have sent so far.
func (r *Runner) EndlessBytes() int64 { return r.endlessBytes.Load() }

// sendEndlessHead sends a header field without end until the caller closes the
// connection.
func (r *Runner) sendEndlessHead(w http.ResponseWriter, request *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	if _, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Field: "); err == nil {
		r.sendEndless(connection, request)
	}
}

func (r *Runner) startRun(id string, h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.lastStart = time.Now()
	r.headers[id] = h.Clone()
	r.running++
}

func (r *Runner) endRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// work waits for d, and reports whether the caller is still connected.
func (r *Runner) work(request *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-request.Context().Done():
		return false
	}
}

// plain responds with PlainBody after the work time.
func (r *Runner) plain(w http.ResponseWriter, request *http.Request, b Behaviour) {
	if !r.work(request, r.WorkTime) {
		return
	}
	body := PlainBody(request.Header.Get("Request-Id"))
	if b < Unframed {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if b == Truncating || b == UnframedReset {
		_, _ = w.Write([]byte(body[:len(body)/2]))
		breakOff(w, request, b)
	}
	_, _ = w.Write([]byte(body)) // an error means that the caller has disconnected
}

// breakOff sends what was written so far. Unless the behaviour is UnframedCut, it
// ends the connection without a proper end of the answer.
func breakOff(w http.ResponseWriter, request *http.Request, b Behaviour) {
	_ = http.NewResponseController(w).Flush()
	if b == UnframedCut {
		return
	}
	if b == UnframedReset {
		resetConnection(request)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection makes the connection of a request end with a reset.
func resetConnection(request *http.Request) {
	connection := connectionOf(request)
	tcp, ok := connection.Conn.(*net.TCPConn)
	if !ok {
		panic("connection is not TCP") // a bug in this package
	}
	_ = tcp.SetLinger(0) // an error means that the connection has ended
}

// readPrompt reads the parts of the prompt that are not cached, and reports whether
// the caller is still connected.
func (r *Runner) readPrompt(request *http.Request) bool {
	prompt, _, _ := strings.Cut(request.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt) // a request without a token count is read at once
	r.readLock.Lock()
	defer r.readLock.Unlock()
	prefixes, cachedTokens := r.cachedTokens(request.Header.Get("Prompt-Prefix"))
	tokens = max(tokens-cachedTokens, 0)
	if !r.work(request, r.WorkTime*time.Duration(tokens)/1000) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokensRead += tokens
	if len(r.cached) > maxCachedPrefixes {
		clear(r.cached)
	}
	for _, prefix := range prefixes {
		r.cached[prefix] = true
	}
	return true
}

// cachedTokens returns the prefixes of a prompt, one per part, and how many of its
// tokens are cached.
func (r *Runner) cachedTokens(prefix string) (prefixes []string, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, contiguous := "", true
	for part := range strings.SplitSeq(prefix, ",") {
		_, count, ok := strings.Cut(part, ":")
		if !ok {
			break
		}
		current += part + ","
		prefixes = append(prefixes, current)
		if contiguous = contiguous && r.cached[current]; contiguous {
			n, _ := strconv.Atoi(count) // a part without a count has no tokens
			tokens += n
		}
	}
	return prefixes, tokens
}

// TokensRead returns the number of prompt tokens read so far.
func (r *Runner) TokensRead() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokensRead
}

// stream responds with the events after the one that the request names.
func (r *Runner) stream(w http.ResponseWriter, request *http.Request, b Behaviour) {
	select {
	case r.slotSemaphore <- struct{}{}:
		defer func() { <-r.slotSemaphore }()
	case <-request.Context().Done():
		return
	}
	if !r.readPrompt(request) {
		return
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if text, contentType := b.wrongAnswer(); text != "" {
		w.Header()["Content-Type"] = contentType
		if b == RejectingText {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = io.WriteString(w, text) // an error means that the caller has disconnected
		return
	}
	if b == IgnoresLastEvent {
		last = 0
	}
	if b == SkipsEvent && last > 0 {
		last++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := last + 1; i <= r.Events; i++ {
		event := StreamBody(i, i)
		if r.isDeadly(request.Header.Get("Prompt-Prefix")) {
			_, _ = w.Write([]byte(event[:len(event)/2])) // the engine ends in the middle of its first event
			_ = controller.Flush()
			r.Crash()
			panic(http.ErrAbortHandler)
		}
		if b == UnframedEmpty {
			return
		}
		if (b == Truncating || b == UnframedCut || b == UnframedReset) && i > r.Events/2 {
			_, _ = w.Write([]byte(event[:len(event)/2]))
			breakOff(w, request, b)
			return
		}
		if b == Dripping && i > r.Events/2 {
			r.drip(w, request)
			return
		}
		if b == SlowStream && i == r.Events/2 && !r.work(request, SlowPause) {
			return
		}
		if _, err := w.Write([]byte(event)); err != nil {
			return
		}
		_ = controller.Flush()
		if !r.work(request, r.EventInterval) {
			return
		}
	}
	r.sendTrailer(w)
}

// wrongAnswer returns what a runner sends in place of a stream and its content type; an
// empty text for a stream.
func (b Behaviour) wrongAnswer() (text string, contentType []string) {
	switch b {
	case DocumentAnswer:
		return Document, []string{"application/json"}
	case UntypedText:
		return "internal error\n", nil
	case RejectingText:
		return "bad request\n", []string{"text/plain"}
	case ErrorEvent:
		return "event: error\ndata: internal error\n\n", []string{"text/event-stream"}
	}
	return "", nil
}

// drip sends comment lines until the caller closes the connection.
func (r *Runner) drip(w http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(w)
	for r.work(request, DripInterval) {
		if _, err := io.WriteString(w, ": still here\n\n"); err != nil {
			return
		}
		_ = controller.Flush()
	}
}
