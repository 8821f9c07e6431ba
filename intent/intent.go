// Package intent keeps at-most-once records of calls that must not be repeated: a
// write-ahead log of intended calls, by idempotency key.
//
// A record is created in the object API before the first byte of a call is sent, on
// condition that its key has no record yet. A record is removed only by its own
// attempt, which then never sends, or by expiry. The record of a router that died
// is never taken over: the router may only be paused, and no clock can tell when a
// paused process will no longer send. The outcome of such a key is reported as
// unknown until the record expires.
package intent

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store. An attempt that gets one of them from Begin must not run.
var (
	// ErrRunning means that another attempt holds the key and its holder is live.
	ErrRunning = eris.New("a call with this key is running")
	// ErrOutcomeUnknown means that another attempt held the key, and that it is
	// not known whether the call ran.
	ErrOutcomeUnknown = eris.New("outcome of the call with this key is unknown")
	// ErrKeyReused means that the key belongs to a different request.
	ErrKeyReused = eris.New("key was used for a different request")
	// ErrUnavailable means that the record could not be written and this attempt
	// never runs. It says nothing about earlier attempts with the same key.
	ErrUnavailable = eris.New("at-most-once records are not available")
	// ErrFull means that the shard of the key has no space for another record.
	ErrFull = eris.New("shard of at-most-once records is full")
	// ErrNotHeld means that the record of the attempt has expired or was released.
	ErrNotHeld = eris.New("attempt no longer holds its record")
)

// Key identifies a call that must run at most once.
type Key struct {
	Workspace string
	Service   string
	Key       string
}

// Outcome is the response of the upstream to a call.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
}

// Done is the stored outcome of a finished call. Begin returns it as an error.
type Done struct {
	Status int
	Header http.Header
	Body   []byte
	// Truncated is set if the body was not kept. If it was too large to store,
	// BodyDigest is a prefix of its SHA-256 and BodyBytes its length. If the call
	// ended more than Options.KeepOutcome ago, only the status is left.
	Truncated  bool
	BodyDigest []byte
	BodyBytes  int
}

// Error implements error.
func (d *Done) Error() string {
	return fmt.Sprintf("the call with this key has finished with status %d", d.Status)
}

// Defaults and limits of a Store.
const (
	// Shards is the number of objects over which the records are spread.
	Shards = 64

	// DefaultValidFor is below the 3.5 s after which peers count a silent router
	// as dead, so that a paused holder stops before others report its outcome as
	// unknown.
	DefaultValidFor = 3 * time.Second
	DefaultExpiry   = 24 * time.Hour
	// DefaultKeepOutcome is enough for the retries of a caller. Full records kept
	// for DefaultExpiry would fill the shards at 6 keyed calls per second.
	DefaultKeepOutcome = 15 * time.Minute
	// DefaultRefuseAfter lets calls survive a short outage of the object API.
	DefaultRefuseAfter = 500 * time.Millisecond
	// DefaultWriteInterval and DefaultFinishDelay trade latency for fewer writes:
	// calls of one shard that arrive within them share a write.
	DefaultWriteInterval = 100 * time.Millisecond
	DefaultFinishDelay   = 250 * time.Millisecond
	// DefaultWriteBudget is in writes per second. It leaves a third of the 400
	// writes per second that the object API allows to configuration and leases. A
	// shard then waits at most 64/250 s for its write.
	DefaultWriteBudget    = 250.0
	DefaultCallTimeout    = 2 * time.Second
	DefaultForwardTimeout = 500 * time.Millisecond
	DefaultMaxBodyBytes   = 4 << 10
	// DefaultMaxShardBytes keeps a margin below the 1 MB of the object API.
	DefaultMaxShardBytes = 1<<20 - 16<<10

	// contentionPeriod is how long after a conflict other writers of the shard are
	// expected. During that time, a write needs state no older than maxReadAge.
	contentionPeriod = 10 * time.Second
	maxReadAge       = 10 * time.Millisecond

	maxBackoff = time.Second
	// writeBurst is the number of writes that an owner may start at once after an
	// idle period.
	writeBurst = 8
	minBackoff = 10 * time.Millisecond
)
