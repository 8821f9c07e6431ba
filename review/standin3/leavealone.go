package main

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// serveBefore is the time of traffic before the runner turns requests away, turnAwayFor
	// for how long it does, and retryAfter the time, in seconds, that it asks for.
	serveBefore = 3 * time.Second
	turnAwayFor = 1500 * time.Millisecond
	retryAfter  = 90
	// watchFor is how long the callers go on. It is shorter than the time asked for.
	watchFor = 70 * time.Second
	// maxEarly is the number of requests that may reach the runner too early from one router,
	// and earlySlack the time after an answer in which requests do not count.
	maxEarly   = 2
	earlySlack = 500 * time.Millisecond
)

// leaveAlone lets one of three runners turn requests away with a long Retry-After. The rule is
// broken if more than maxEarly requests of one router reach it before that time is over.
func leaveAlone(d *deployment) (ruleHeld bool, err error) {
	d.store.Put("config", "main", configuration(1, key))
	for i, zone := range zones {
		if _, err := startRunner(d, fmt.Sprintf("i-%d", i+1), zone, fmt.Sprintf("%s.%d.101:8443", d.network, i+1)); err != nil {
			return false, err
		}
	}
	if err := d.startRouters(); err != nil {
		return false, err
	}
	time.Sleep(leadTime - time.Since(d.began))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var c callers
	var done sync.WaitGroup
	for _, r := range d.routers {
		done.Go(func() { c.run(ctx, r) })
	}
	time.Sleep(serveBefore)
	away := d.runners[0]
	if d.trouble {
		away.turnAway(fmt.Sprint(retryAfter))
		d.note("%s turns requests away with Retry-After: %d", away.id, retryAfter)
	}
	time.Sleep(turnAwayFor)
	away.turnAway("")
	if d.trouble {
		d.note("%s serves requests that reach it nevertheless", away.id)
	}
	time.Sleep(watchFor)
	cancel()
	done.Wait()
	d.noteCalls(c.calls)
	return d.checkEarly(away), nil
}

// noteCalls notes all requests.
func (d *deployment) noteCalls(calls []call) {
	sort.Slice(calls, func(i, j int) bool { return calls[i].sent.Before(calls[j].sent) })
	for _, one := range calls {
		where := ""
		for _, r := range d.runners {
			if r.ran(one.id) {
				where = r.id
			}
		}
		d.note("sent at %.3f: %s, status %d, run by %q", one.sent.Sub(d.began).Seconds(), one.id, one.status, where)
	}
}

// checkEarly counts the requests of each router that reached a runner within the time for
// which it had asked that router for none.
func (d *deployment) checkEarly(away *runner) (ruleHeld bool) {
	away.mu.Lock()
	defer away.mu.Unlock()
	until, from, early := map[string]time.Time{}, map[string]time.Time{}, map[string]int{}
	for _, a := range away.arrivals {
		router, _, _ := strings.Cut(a.id, "/")
		if from[router].IsZero() || a.at.Before(from[router]) || !a.at.Before(until[router]) {
			if a.refused && from[router].IsZero() {
				from[router], until[router] = a.at.Add(earlySlack), a.at.Add(retryAfter*time.Second)
				d.note("%s has asked %s at %.3f for no requests until %.3f", away.id, router, a.at.Sub(d.began).Seconds(), until[router].Sub(d.began).Seconds())
			}
			continue
		}
		early[router]++
		if early[router] <= maxEarly+1 {
			d.note("%s reached %s at %.3f, too early", a.id, away.id, a.at.Sub(d.began).Seconds())
		}
	}
	held := true
	for router, count := range early {
		d.note("%d requests of %s reached %s too early", count, router, away.id)
		held = held && count <= maxEarly
	}
	return held
}
