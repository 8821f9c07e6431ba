// Package site is a fake of the users' platform for tests: its metadata store, its
// operator, engines, plain runners and callers, with the faults that tests need.
package site

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how the store treats a call.
type Fault uint8

// Faults of the store.
const (
	NoFault      Fault = iota
	Unavailable        // 503
	RateLimited        // 429
	Reset              // the connection is reset
	NoResponse         // no response
	ResponseLost       // the call takes effect, but gets no response
)

// pageSize is the number of objects in one page of a list.
const pageSize = 50

// Store is a fake metadata store. It is safe for concurrent use.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	revision   int64
	objects    map[string]map[string]*object // by kind and name
	history    []change
	oldest     int64 // watches from earlier revisions get 410
	changed    chan struct{}
	fault      Fault
	hosts      map[string]string // by the address of AddressFor
	hostFaults map[string]Fault
	calls      int
	delay      time.Duration // of every response
	usesEras   bool
	era        int64
}

type metadata struct {
	Name           string `json:"name"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_rev"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// NewStore starts a store on address, such as "127.0.0.1:0".
func NewStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: listener, revision: 1, objects: map[string]map[string]*object{},
		changed: make(chan struct{}), hosts: map[string]string{}, hostFaults: map[string]Fault{},
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	return s, nil
}

// Address returns the address on which the store listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// AddressFor opens and returns an address of the store for the calls of one host. On
// loopback connections the addresses of callers do not tell them apart.
func (s *Store) AddressFor(host string) (string, error) {
	ip, _, err := net.SplitHostPort(s.Address())
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	s.mu.Lock()
	s.hosts[address] = host
	s.mu.Unlock()
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	return address, nil
}

// Close stops the store and closes its connections.
func (s *Store) Close() { _ = s.server.Close() }

// SetFault sets the fault of all calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notify()
}

// SetHostFault sets the fault of the calls of one host; see AddressFor.
func (s *Store) SetHostFault(host string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostFaults[host] = f
	s.notify()
}

// SetSlow delays every response by d.
func (s *Store) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// DropHistory makes watches from earlier revisions fail with 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.revision
	s.notify()
}

// Put writes an object as the operator or a runner does, and returns its revision.
func (s *Store) Put(kind, name string, spec any) int64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a bug in the test
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, encoded).Metadata.Revision
}

// Delete removes an object as the platform does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Names returns the names of all objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// write must be called with mu held, like remove and notify.
func (s *Store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return *o
	}
	s.revision++
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreateRevision: s.revision}}
		s.objects[kind][name] = o
	}
	o.Metadata.Revision = s.revision
	o.Spec = spec
	s.history = append(s.history, change{kind: kind, Object: *o})
	s.notify()
	return *o
}

func (s *Store) remove(kind, name string) bool {
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{kind: kind, Object: *o, Deleted: true})
	s.notify()
	return true
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	address, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	host := s.hosts[address.String()]
	s.calls++
	delay := s.delay
	fault := s.faultOf(host)
	s.setEra(w)
	s.mu.Unlock()
	time.Sleep(delay)
	if s.applyFault(w, r, fault) {
		return
	}
	if r.Method == http.MethodGet && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind, host)
		return
	}
	status, body := s.call(w, r, kind, name)
	if fault == ResponseLost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

// faultOf returns the fault of the calls of one host.
func (s *Store) faultOf(host string) Fault {
	if f := s.hostFaults[host]; f != NoFault {
		return f
	}
	return s.fault
}

// applyFault fails the call if the fault demands it, and reports whether it did.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch f {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		panic(http.ErrAbortHandler)
	case NoResponse:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // an error means that the client has disconnected
	}
}

// call handles every call except watches.
func (s *Store) call(w http.ResponseWriter, r *http.Request, kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	switch r.Method {
	case http.MethodGet:
		return s.read(r, kind, name)
	case http.MethodPost:
		return s.create(r, kind)
	case http.MethodPut:
		return s.replace(r, kind, name)
	case http.MethodDelete:
		return s.delete(r, kind, name)
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *Store) read(r *http.Request, kind, name string) (int, any) {
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			return http.StatusOK, *o
		}
		return http.StatusNotFound, nil
	}
	after := r.URL.Query().Get("after")
	items := []object{}
	more := false
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, *s.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision}
}

func (s *Store) create(r *http.Request, kind string) (int, any) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		return http.StatusBadRequest, nil
	}
	if old := s.objects[kind][o.Metadata.Name]; old != nil {
		return http.StatusConflict, *old
	}
	return http.StatusCreated, s.write(kind, o.Metadata.Name, o.Spec)
}

func (s *Store) replace(r *http.Request, kind, name string) (int, any) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, nil
	}
	old := s.objects[kind][name]
	if old == nil {
		return http.StatusNotFound, nil
	}
	if o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision {
		return http.StatusConflict, *old
	}
	return http.StatusOK, s.write(kind, name, o.Spec)
}

func (s *Store) delete(r *http.Request, kind, name string) (int, any) {
	old := s.objects[kind][name]
	if old == nil {
		return http.StatusNotFound, nil
	}
	if revision := r.URL.Query().Get("revision"); revision != "" && revision != strconv.FormatInt(old.Metadata.Revision, 10) {
		return http.StatusConflict, *old
	}
	s.remove(kind, name)
	return http.StatusOK, nil
}

// watch responds as soon as there are changes after a revision.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, host string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone := s.lacks(after)
		s.setEra(w)
		events := s.eventsAfter(kind, after)
		revision, changed, fault := s.revision, s.changed, s.faultOf(host)
		s.mu.Unlock()
		if s.applyFault(w, r, fault) {
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": []change{}, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
