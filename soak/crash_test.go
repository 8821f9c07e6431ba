package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// deadlyPart is the part of prompts that makes runners crash, once the fault has
	// begun.
	deadlyPart  = "deadly"
	deadlyPause = 250 * time.Millisecond // between two requests with the part
	// crashesToLearn and learnTime are the crashes, and the time after the last of them,
	// from which at most maxDeadlyArrivals requests with the part may reach runners.
	crashesToLearn    = 5
	learnTime         = 3 * time.Second
	maxDeadlyArrivals = 3
)

// runDeadlyCaller sends streams with the deadly part until ctx ends.
func (d *deployment) runDeadlyCaller(ctx context.Context, outcomeLog *outcomeLog, seed uint64) {
	caller := &site.Caller{Name: "deadly", Timeout: callerTimeout, Rand: rand.New(rand.NewPCG(seed, 7)), Part: deadlyPart}
	for _, r := range d.routers {
		caller.Routers = append(caller.Routers, r.Router)
	}
	defer caller.Close()
	for ctx.Err() == nil {
		if o := caller.Send(context.WithoutCancel(ctx), site.StreamPath); o.Router != "" {
			outcomeLog.add(o)
		}
		time.Sleep(deadlyPause)
	}
}

// setDeadlyPart makes all runners crash on a part, or on none if it is empty.
func (d *deployment) setDeadlyPart(part string) {
	for _, r := range d.runners {
		r.SetDeadlyPart(part)
	}
}

// checkCrashes checks that routers stop sending the deadly part. Those that were disturbed
// within learnTime before do not count.
func checkCrashes(t *testing.T, d *deployment, deadly []site.Outcome, disturbed []disturbance) {
	var crashes []time.Time
	for _, r := range d.runners {
		crashes = append(crashes, r.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	t.Logf("%d runners crashed on a part of %d requests", len(crashes), len(deadly))
	if len(crashes) < crashesToLearn {
		return
	}
	router := map[string]string{}
	for _, o := range deadly {
		router[o.ID] = o.Router
	}
	learnt := crashes[crashesToLearn-1].Add(learnTime)
	count := 0
	for _, r := range d.runners {
		for _, a := range r.Arrivals() {
			if site.HasPart(a.Prompt, deadlyPart) && a.At.After(learnt) && !disturbedBetween(disturbed, router[a.ID], "", a.At.Add(-learnTime), a.At) {
				count++
			}
		}
	}
	assert.LessOrEqual(t, count, maxDeadlyArrivals, "requests with the part that reach runners later than %v after crash %d", learnTime, crashesToLearn)
}
