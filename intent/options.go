package intent

import (
	"time"

	"github.com/google/uuid"

	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/peer"
)

// Options are the settings of a Store. Zero fields mean the defaults.
type Options struct {
	// Host and Incarnation identify this router in its records.
	Host        string
	Incarnation uint64
	// Live reports whether a holder is live. If nil, every holder counts as live.
	Live func(host string, incarnation uint64) bool
	// Transport is used to forward calls to the owner of their shard. If it or
	// Routers is nil, every router writes all shards directly.
	Transport peer.Transport
	// Routers returns the live routers, including this one. They share the write
	// budget.
	Routers func() []string
	// Events receives the events of attempts; it may be nil.
	Events *event.Log
	// Seed is the seed of the jitter of retries.
	Seed uint64

	// ValidFor is the maximum time from writing the record to sending the first
	// byte.
	ValidFor time.Duration
	// Expiry is the lifetime of a record.
	Expiry time.Duration
	// KeepOutcome is how long the outcome of a call is kept; after that only its
	// status is left.
	KeepOutcome time.Duration
	// RefuseAfter is how long Begin retries writes that certainly failed.
	RefuseAfter time.Duration
	// WriteInterval is the minimum time between two writes of one shard.
	WriteInterval time.Duration
	// WriteBudget is the number of writes per second of all routers together.
	WriteBudget float64
	// FinishDelay is how long Finish, MarkUnknown and Release may be delayed so that
	// they share a write with other calls.
	FinishDelay time.Duration
	// CallTimeout is the timeout of one call to the object API.
	CallTimeout time.Duration
	// ForwardTimeout is how long Begin waits for the owner of the shard before it
	// writes the record directly.
	ForwardTimeout time.Duration
	// MaxBodyBytes is the maximum size of a stored body.
	MaxBodyBytes int
	// MaxShardBytes is the maximum size of a shard, above which it refuses new
	// records.
	MaxShardBytes int

	// newAttempt returns a unique ID; tests replace it.
	newAttempt func() id
}

func (o Options) withDefaults() Options {
	setDefault(&o.ValidFor, DefaultValidFor)
	setDefault(&o.Expiry, DefaultExpiry)
	setDefault(&o.KeepOutcome, DefaultKeepOutcome)
	setDefault(&o.RefuseAfter, DefaultRefuseAfter)
	setDefault(&o.WriteInterval, DefaultWriteInterval)
	setDefault(&o.WriteBudget, DefaultWriteBudget)
	setDefault(&o.FinishDelay, DefaultFinishDelay)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxShardBytes, DefaultMaxShardBytes)
	if o.Live == nil {
		o.Live = func(string, uint64) bool { return true }
	}
	if o.newAttempt == nil {
		o.newAttempt = func() id { return id(uuid.New()) }
	}
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
