package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/pause"
)

// ObjectName is the object that holds both lists.
const ObjectName = "config/lists"

const (
	historyPrefix = "config/history/"
	maxChanges    = 100
	// historyTimeout bounds the copy of the old version, which is best effort
	// and must not hold up the change itself.
	historyTimeout = time.Second
	// retryPause is the wait between two attempts to learn the outcome of a
	// write; the object API answers in milliseconds when it works.
	retryPause = 100 * time.Millisecond
)

// Errors of a Store. A ConflictError matches ErrConflict.
var (
	ErrConflict       = eris.New("lists have another version")
	ErrUnavailable    = eris.New("lists cannot be read or written now")
	ErrOutcomeUnknown = eris.New("it is unknown whether the lists were changed")
	ErrNoVersion      = eris.New("no such version of the lists is kept")
	ErrTooLarge       = eris.New("lists are larger than the object API stores")
)

// ConflictError tells that a change was based on a version that is not current.
type ConflictError struct {
	Based, Current int64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on version %d, but version %d is current", e.Based, e.Current)
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Store keeps the lists in the object API. It is safe for concurrent use.
type Store struct {
	objects objectapi.Objects
	now     func() time.Time
	sleep   func(context.Context, time.Duration) error
	applied func(PlatformRead)
}

// NewStore returns a store over objects; now stamps the change log, nil means
// time.Now.
func NewStore(objects objectapi.Objects, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{objects: objects, now: now, sleep: pause.For, applied: func(PlatformRead) {}}
}

// OnApplied sets a function that gets each change that this store has made. The
// router feeds it to its Spread at once: should the platform fail right after the
// change, no router could read it any more. Call it before the store is used.
func (s *Store) OnApplied(applied func(PlatformRead)) { s.applied = applied }

// Get returns the current lists and their version; both are empty before the
// first change. Errors: ErrUnavailable, *InvalidError.
func (s *Store) Get(ctx context.Context) (Lists, int64, error) {
	object, err := s.read(ctx)
	if err != nil || object.Version == 0 {
		return Lists{}, 0, err
	}
	lists, err := Parse(object.Value)
	return lists, object.Version, err
}

// read returns the object, with version zero when there is none yet.
func (s *Store) read(ctx context.Context) (objectapi.Object, error) {
	object, err := s.objects.Get(ctx, ObjectName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Object{Name: ObjectName}, nil
	}
	if err != nil {
		return objectapi.Object{}, unavailable(err)
	}
	return object, nil
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// Apply replaces the lists on the condition that ifVersion is current, zero
// meaning that there are none, and returns the new version. Errors:
// *InvalidError, *ConflictError, ErrTooLarge, ErrUnavailable (not changed),
// ErrOutcomeUnknown.
func (s *Store) Apply(ctx context.Context, lists Lists, ifVersion int64, author string) (int64, error) {
	lists.Changes = nil
	if err := lists.Validate(); err != nil {
		return 0, err
	}
	old, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	if old.Version != ifVersion {
		return 0, &ConflictError{Based: ifVersion, Current: old.Version}
	}
	change := s.change(lists, ifVersion+1, author)
	lists.Changes = appendChange(changesOf(old), change)
	s.keep(ctx, old)
	data := lists.encode()
	version, err := s.put(ctx, data, ifVersion, change.ID)
	if err == nil {
		// The write took place after the change was stamped.
		s.applied(PlatformRead{Version: version, Data: data, Started: change.Time})
	}
	return version, err
}

func (s *Store) change(lists Lists, version int64, author string) Change {
	return Change{
		Version: version,
		Author:  author,
		Time:    s.now().UTC().Truncate(time.Millisecond),
		Digest:  lists.Digest(),
		ID:      uuid.NewString(),
	}
}

// changesOf returns the change log of a stored object. An unreadable object has
// none, so that it can be replaced.
func changesOf(object objectapi.Object) []Change {
	lists, err := Parse(object.Value)
	if err != nil {
		return nil
	}
	return lists.Changes
}

func appendChange(log []Change, change Change) []Change {
	log = append(log[:len(log):len(log)], change)
	return log[max(0, len(log)-maxChanges):]
}

// keep stores a version before it is replaced. The change goes on when that
// fails, because a lost old version harms less than a refused change.
func (s *Store) keep(ctx context.Context, old objectapi.Object) {
	if old.Version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	_, _ = s.objects.Put(ctx, historyName(old.Version), old.Value, 0)
}

func historyName(version int64) string { return fmt.Sprintf("%s%d", historyPrefix, version) }

// put writes until the outcome is known. Repeating the conditional write is
// safe: at most one attempt can take effect, and the change id in the log tells
// whether it was one of ours.
func (s *Store) put(ctx context.Context, data []byte, ifVersion int64, id string) (int64, error) {
	sent := false
	for {
		object, err := s.objects.Put(ctx, ObjectName, data, ifVersion)
		if err == nil {
			return object.Version, nil
		}
		if refused := refusal(err); refused != nil && !sent {
			return 0, refused
		}
		sent = true
		version, known, err := s.outcome(ctx, ifVersion, id)
		if known {
			return version, err
		}
		if s.sleep(ctx, retryPause) != nil {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// refusal converts an error that says for certain that nothing was written. A
// conflict is not one of them, because an earlier attempt may be its cause.
func refusal(err error) error {
	switch {
	case errors.Is(err, objectapi.ErrTooLarge):
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrRateLimited):
		return unavailable(err)
	}
	return nil
}

// outcome reads the object back and tells whether the write with the given
// change id took effect.
func (s *Store) outcome(ctx context.Context, ifVersion int64, id string) (int64, bool, error) {
	object, err := s.read(ctx)
	if err != nil || object.Version <= ifVersion {
		return 0, false, nil
	}
	for _, change := range changesOf(object) {
		if change.ID == id {
			return change.Version, true, nil
		}
	}
	return 0, true, &ConflictError{Based: ifVersion, Current: object.Version}
}

// History returns the log of the latest changes, oldest first. Errors:
// ErrUnavailable, *InvalidError.
func (s *Store) History(ctx context.Context) ([]Change, error) {
	lists, _, err := s.Get(ctx)
	return lists.Changes, err
}

// Version returns the lists as they were at version. Errors: ErrNoVersion,
// ErrUnavailable, *InvalidError.
func (s *Store) Version(ctx context.Context, version int64) (Lists, error) {
	current, err := s.read(ctx)
	if err != nil {
		return Lists{}, err
	}
	if current.Version == version && version > 0 {
		return Parse(current.Value)
	}
	object, err := s.objects.Get(ctx, historyName(version))
	if errors.Is(err, objectapi.ErrNotFound) {
		return Lists{}, ErrNoVersion
	}
	if err != nil {
		return Lists{}, unavailable(err)
	}
	return Parse(object.Value)
}
