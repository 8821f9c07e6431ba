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

// ObjectName is the name of the object that holds the lists.
const ObjectName = "config/lists"

const (
	historyPrefix = "config/history/"
	maxChanges    = 100
	// historyTimeout limits the write of the old version to the history, which is
	// best-effort and must not delay the change for long.
	historyTimeout = time.Second
	// retryPause is the wait between two attempts of a write whose outcome is
	// unknown. The object API usually answers within milliseconds.
	retryPause = 100 * time.Millisecond
)

// Errors of Store methods. ErrConflict matches every *ConflictError.
var (
	ErrConflict       = eris.New("lists have another version")
	ErrUnavailable    = eris.New("lists cannot be read or written now")
	ErrOutcomeUnknown = eris.New("it is unknown whether the lists were changed")
	ErrNoVersion      = eris.New("no such version of the lists is kept")
	ErrTooLarge       = eris.New("lists are larger than the object API stores")
)

// ConflictError means that a change was based on a version that is not the current
// one.
type ConflictError struct {
	Based, Current int64
}

// Error returns a message with both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on version %d, but version %d is current", e.Based, e.Current)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Store reads and writes the lists in the object API. It is safe for concurrent
// use.
type Store struct {
	objects   objectapi.Objects
	now       func() time.Time
	sleep     func(context.Context, time.Duration) error
	onApplied func(ObjectRead)
}

// NewStore returns a Store that uses objects. The change log gets its times from
// now; nil means time.Now.
func NewStore(objects objectapi.Objects, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{objects: objects, now: now, sleep: pause.For, onApplied: func(ObjectRead) {}}
}

// OnApplied sets a function that is called after each change that this Store makes.
// The router passes the change to its Replica at once, so that it spreads to the
// peers even if the object API fails right after the change. OnApplied must be called
// before the Store is used.
func (s *Store) OnApplied(onApplied func(ObjectRead)) { s.onApplied = onApplied }

// Get returns the current lists and their version, which are empty and zero before
// the first change. Its errors are ErrUnavailable and *InvalidError.
func (s *Store) Get(ctx context.Context) (Lists, int64, error) {
	object, err := s.read(ctx)
	if err != nil || object.Version == 0 {
		return Lists{}, 0, err
	}
	lists, err := Parse(object.Value)
	return lists, object.Version, err
}

// read returns the stored object. Its version is zero if it does not exist yet.
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

// Apply replaces the lists if ifVersion is their current version, and returns the
// new version. An ifVersion of zero means that no lists exist yet. Its errors are
// *InvalidError, *ConflictError, ErrTooLarge and ErrUnavailable, after which the
// lists are unchanged, and ErrOutcomeUnknown.
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
	s.saveHistory(ctx, old)
	data := lists.encode()
	version, err := s.putUntilKnown(ctx, data, ifVersion, change.ID)
	if err == nil {
		// change.Time is before the write, so it is safe as the time of confirmation.
		s.onApplied(ObjectRead{Version: version, Data: data, Started: change.Time})
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

// changesOf returns the change log of a stored object. It returns nil for an invalid
// object, so that such an object can be replaced.
func changesOf(object objectapi.Object) []Change {
	lists, err := Parse(object.Value)
	if err != nil {
		return nil
	}
	return lists.Changes
}

// appendChange appends to the log and removes the oldest entries beyond maxChanges.
func appendChange(log []Change, change Change) []Change {
	log = append(log[:len(log):len(log)], change)
	return log[max(0, len(log)-maxChanges):]
}

// saveHistory stores a copy of a version before it is replaced. Errors are ignored,
// because a missing old version does less harm than a refused change.
func (s *Store) saveHistory(ctx context.Context, old objectapi.Object) {
	if old.Version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	_, _ = s.objects.Put(ctx, historyName(old.Version), old.Value, 0)
}

func historyName(version int64) string { return fmt.Sprintf("%s%d", historyPrefix, version) }

// putUntilKnown repeats the write until its outcome is known. This is safe because the
// write is conditional: at most one attempt can take effect. The change id in the
// stored log shows whether one did.
func (s *Store) putUntilKnown(ctx context.Context, data []byte, ifVersion int64, id string) (int64, error) {
	mayBeWritten := false
	for {
		object, err := s.objects.Put(ctx, ObjectName, data, ifVersion)
		if err == nil {
			return object.Version, nil
		}
		if refused := notWrittenError(err); refused != nil && !mayBeWritten {
			return 0, refused
		}
		mayBeWritten = true
		version, known, err := s.writeOutcome(ctx, ifVersion, id)
		if known {
			return version, err
		}
		if s.sleep(ctx, retryPause) != nil {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// notWrittenError converts an error after which nothing was written for certain, and
// returns nil for any other. A conflict is not such an error, because an earlier
// attempt may have caused it.
func notWrittenError(err error) error {
	switch {
	case errors.Is(err, objectapi.ErrTooLarge):
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrRateLimited):
		return unavailable(err)
	}
	return nil
}

// writeOutcome reads the object back to find out whether the write with the given
// change id took effect. Its bool is false if that is not known yet.
func (s *Store) writeOutcome(ctx context.Context, ifVersion int64, id string) (int64, bool, error) {
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

// History returns the log of the latest changes, oldest first. Its errors are
// ErrUnavailable and *InvalidError.
func (s *Store) History(ctx context.Context) ([]Change, error) {
	lists, _, err := s.Get(ctx)
	return lists.Changes, err
}

// Version returns the given version of the lists. Its errors are ErrNoVersion,
// ErrUnavailable and *InvalidError.
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
