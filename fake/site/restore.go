package site

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// Copy is the state of a store at one revision.
type Copy struct {
	revision int64
	objects  map[string]map[string]*object
	history  []change
	oldest   int64
}

// UseEras makes all answers from now on carry the header Store-Era, beginning with the
// given era.
func (s *Store) UseEras(first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usesEras, s.era = true, first
}

// Era returns the current era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// TakeCopy returns a copy of the current state.
func (s *Store) TakeCopy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{revision: s.revision, objects: cloneObjects(s.objects), history: slices.Clone(s.history), oldest: s.oldest}
}

// Restore begins a new era from a copy. What was written since is lost, and its revisions
// are issued again. Watches from a revision that the copy does not have end with 410.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.oldest = c.revision, c.oldest
	s.objects, s.history = cloneObjects(c.objects), slices.Clone(c.history)
	s.notify()
}

func cloneObjects(objects map[string]map[string]*object) map[string]map[string]*object {
	clone := make(map[string]map[string]*object, len(objects))
	for kind, byName := range objects {
		clone[kind] = maps.Clone(byName)
		for name, o := range byName {
			copied := *o
			clone[kind][name] = &copied
		}
	}
	return clone
}

// lacks reports whether the store has not the history after a revision. It must be called
// with mu held, like setEra.
func (s *Store) lacks(revision int64) bool {
	return revision < s.oldest || revision > s.revision
}

// eventsAfter returns the changes of a kind after a revision.
func (s *Store) eventsAfter(kind string, after int64) []change {
	var events []change
	for _, c := range s.history {
		if c.kind == kind && c.Object.Metadata.Revision > after {
			events = append(events, c)
		}
	}
	return events
}

// setEra sets the header of an answer with what the store holds now.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.usesEras {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
}

// Renew writes the runner's entry again, as a heartbeat does, unless the runner is down or
// closed.
func (r *Runner) Renew() {
	r.mu.Lock()
	gone := r.down || r.closed
	r.seq++
	r.mu.Unlock()
	if !gone {
		r.register()
	}
}

// Spec returns the spec of an object, nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

// PutUnless writes an object as the operator does, unless the current spec, nil if there is
// none, is to stay.
func (s *Store) PutUnless(kind, name string, spec json.RawMessage, stays func(current json.RawMessage) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil && stays(o.Spec) {
		return
	}
	s.write(kind, name, spec)
}
