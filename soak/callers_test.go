package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// record keeps all outcomes. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	outcomes []site.Outcome
}

func (r *record) add(o site.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *record) all() []site.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.outcomes)
}

const (
	callerCount = 12
	callerPause = 15 * time.Millisecond
	patience    = 2 * time.Second
)

// call sends requests until ctx ends.
func (d *deployment) call(ctx context.Context, record *record, seed uint64, number int) {
	caller := &site.Caller{
		Name: fmt.Sprint("r-", number), Patience: patience, Rand: rand.New(rand.NewPCG(seed, uint64(number))),
	}
	for _, r := range d.routers {
		caller.Routers = append(caller.Routers, r.Router)
	}
	defer caller.Close()
	for ctx.Err() == nil {
		// A request that has begun is seen to its end.
		if o := caller.Ask(context.WithoutCancel(ctx), site.Paths[caller.Rand.IntN(len(site.Paths))]); o.Router != "" {
			record.add(o)
		}
		time.Sleep(callerPause)
	}
}
