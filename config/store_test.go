package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// fakeObjects is an object API in memory.
type fakeObjects struct {
	versions map[string][][]byte // values of each object, oldest first
	script   []fault             // faults of the next Puts of the lists
	failGets int                 // number of the next Gets that fail
	onPut    func()              // see callOnPut
}

type fault int

const (
	noFault     fault = iota
	answerLost        // the write takes effect but its answer is lost
	requestLost       // the write does not arrive
	refused           // the object API refuses the write
)

func newFakeObjects() *fakeObjects { return &fakeObjects{versions: map[string][][]byte{}} }

func (o *fakeObjects) Get(_ context.Context, name string) (objectapi.Object, error) {
	if o.failGets > 0 {
		o.failGets--
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	versions := o.versions[name]
	if len(versions) == 0 {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return objectapi.Object{Name: name, Version: int64(len(versions)), Value: versions[len(versions)-1]}, nil
}

func (o *fakeObjects) Put(_ context.Context, name string, value []byte, ifVersion int64) (objectapi.Object, error) {
	next := noFault
	if name == ObjectName && len(o.script) > 0 {
		next, o.script = o.script[0], o.script[1:]
	}
	switch next {
	case refused:
		return objectapi.Object{}, objectapi.ErrUnavailable
	case requestLost:
		o.callOnPut()
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	if int64(len(o.versions[name])) != ifVersion {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	o.versions[name] = append(o.versions[name], value)
	if name == ObjectName {
		o.callOnPut()
	}
	if next == answerLost {
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	}
	return objectapi.Object{Name: name, Version: ifVersion + 1, Value: value}, nil
}

// callOnPut calls onPut once, before the answer to a Put of the lists that was written
// or did not arrive.
func (o *fakeObjects) callOnPut() {
	if onPut := o.onPut; onPut != nil {
		o.onPut = nil
		onPut()
	}
}

func (o *fakeObjects) Watch(context.Context, string, int64) (objectapi.Object, error) {
	return objectapi.Object{}, objectapi.ErrUnavailable
}

// TestApplyIsConditional checks that a change based on an old version is rejected with
// a ConflictError that has the current version.
func TestApplyIsConditional(t *testing.T) {
	store := NewStore(newFakeObjects(), nil)
	version, err := store.Apply(t.Context(), sample(), 0, "ana")
	require.NoError(t, err)
	require.EqualValues(t, 1, version)
	_, err = store.Apply(t.Context(), Lists{}, 0, "ben")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{Based: 0, Current: 1}, *conflict)
	require.ErrorIs(t, err, ErrConflict)
	lists, version, err := store.Get(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 1, version)
	require.Equal(t, sample().Digest(), lists.Digest())
	require.Equal(t, "ana", lists.Changes[0].Author)
	require.Equal(t, lists.Digest(), lists.Changes[0].Digest)
}

// TestApplyAfterLostAnswer checks that Apply finds out whether a write whose answer was
// lost took effect, writes it once, and reports a conflict if another write won.
func TestApplyAfterLostAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		script    []fault
		failGets  int
		following bool // another change follows before the read
		competing bool // another change wins instead
	}{
		"written":                    {script: []fault{answerLost}},
		"not written":                {script: []fault{requestLost, requestLost, noFault}},
		"written at the second try":  {script: []fault{requestLost, answerLost}},
		"lost, then refused twice":   {script: []fault{requestLost, refused, refused, noFault}},
		"written, another followed":  {script: []fault{answerLost}, following: true},
		"not written, another won":   {script: []fault{requestLost}, competing: true},
		"written, Puts would fail":   {script: []fault{answerLost, refused, refused}},
		"written, reads fail thrice": {script: []fault{answerLost}, failGets: 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := newFakeObjects()
				store := NewStore(objects, nil)
				_, err := store.Apply(t.Context(), sample(), 0, "first")
				require.NoError(t, err)
				competing := func() {
					_, version, err := NewStore(objects, nil).Get(t.Context())
					require.NoError(t, err)
					script := objects.script
					objects.script = nil
					_, err = NewStore(objects, nil).Apply(t.Context(), Lists{}, version, "rival")
					require.NoError(t, err)
					objects.script = script
				}
				objects.script = c.script
				if c.following || c.competing {
					objects.onPut = competing
				}
				if c.failGets > 0 {
					objects.onPut = func() { objects.failGets = c.failGets }
				}
				version, err := store.Apply(t.Context(), sample(), 1, "second")
				if c.competing {
					require.ErrorIs(t, err, ErrConflict)
					return
				}
				require.NoError(t, err)
				require.EqualValues(t, 2, version)
				log, err := store.History(t.Context())
				require.NoError(t, err)
				require.Equal(t, "second", log[1].Author)
			})
		})
	}
}

// TestApplyOutcomeUnknown checks that Apply returns ErrOutcomeUnknown if the answer was
// lost and the object cannot be read back.
func TestApplyOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := newFakeObjects()
		objects.script = []fault{answerLost}
		objects.onPut = func() { objects.failGets = 1000 }
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := NewStore(objects, nil).Apply(ctx, sample(), 0, "ana")
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	})
}

// TestApplyUnavailable checks that Apply does not return ErrOutcomeUnknown if the object
// API refused the write or the lists are invalid.
func TestApplyUnavailable(t *testing.T) {
	objects := newFakeObjects()
	objects.script = []fault{refused}
	_, err := NewStore(objects, nil).Apply(t.Context(), sample(), 0, "ana")
	require.ErrorIs(t, err, ErrUnavailable)
	_, err = NewStore(objects, nil).Apply(t.Context(), Lists{Plans: []Plan{{}}}, 0, "ana")
	require.ErrorIs(t, err, ErrInvalid)
}

// TestHistory checks that the log keeps the latest 100 changes and that old versions can
// still be read.
func TestHistory(t *testing.T) {
	store := NewStore(newFakeObjects(), nil)
	for i := range 103 {
		lists := Lists{Plans: []Plan{{Name: fmt.Sprintf("plan-%d", i+1), Weight: 1}}}
		_, err := store.Apply(t.Context(), lists, int64(i), "ana")
		require.NoError(t, err)
	}
	log, err := store.History(t.Context())
	require.NoError(t, err)
	require.Len(t, log, 100)
	require.EqualValues(t, 4, log[0].Version)
	require.EqualValues(t, 103, log[99].Version)
	for _, version := range []int64{1, 50, 103} {
		lists, err := store.Version(t.Context(), version)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("plan-%d", version), lists.Plans[0].Name)
	}
	for _, version := range []int64{-1, 0, 104} {
		_, err = store.Version(t.Context(), version)
		require.ErrorIs(t, err, ErrNoVersion)
	}
}
