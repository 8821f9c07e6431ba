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

// outcomeLog collects the outcomes of all callers. It is safe for concurrent use.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []site.Outcome
}

func (l *outcomeLog) add(o site.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *outcomeLog) all() []site.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.outcomes)
}

const (
	callerCount   = 12
	callerPause   = 15 * time.Millisecond // between two requests of a caller
	callerTimeout = 2 * time.Second
)

// runCaller sends requests with a pause between them until ctx ends.
func (d *deployment) runCaller(ctx context.Context, outcomeLog *outcomeLog, seed uint64, index int) {
	caller := &site.Caller{
		Name: fmt.Sprint("r-", index), Timeout: callerTimeout, Rand: rand.New(rand.NewPCG(seed, uint64(index))),
	}
	for _, r := range d.routers {
		caller.Routers = append(caller.Routers, r.Router)
	}
	defer caller.Close()
	for ctx.Err() == nil {
		// A request in progress is completed even if ctx ends.
		if o := caller.Send(context.WithoutCancel(ctx), site.Paths[caller.Rand.IntN(len(site.Paths))]); o.Router != "" {
			outcomeLog.add(o)
		}
		time.Sleep(callerPause)
	}
}
