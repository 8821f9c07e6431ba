package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/pause"
)

// ErrInterrupted means that the context of a run ended before the run.
var ErrInterrupted = eris.New("run was interrupted")

const (
	maxIdleConns   = 512
	connectTimeout = 2 * time.Second
	// settleTime is the wait between the end of the last call and reading the
	// ledgers. Upstreams notice a canceled run within it.
	settleTime = time.Second
)

// recorder collects outcomes. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	outcomes []Outcome
}

func (r *recorder) add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Run sends the workload and returns the measures. It takes at most about
// Duration plus Grace. Errors: ErrControl, ErrInterrupted.
func Run(ctx context.Context, s Settings, d deployment.Description) (Result, error) {
	requests := Generate(s, d)
	before, err := takeSnapshot(ctx, d, 0)
	if err != nil {
		return Result{}, err
	}
	r := &runner{settings: s, description: d, start: time.Now(), name: newRunName(s)}
	undisturbedEnd, err := r.send(ctx, requests)
	if err != nil {
		return Result{}, err
	}
	after, err := takeSnapshot(ctx, d, time.Since(r.start))
	if err != nil {
		return Result{}, err
	}
	return measure(s, d, r.name, r.recorder.outcomes, before, undisturbedEnd, after), nil
}

// newRunName returns a random prefix for request ids, so that ledger entries of
// earlier runs do not count.
func newRunName(s Settings) string {
	return fmt.Sprintf("l%x-%08x", s.Seed, rand.Uint32())
}

// runner sends the workload of one run.
type runner struct {
	settings    Settings
	description deployment.Description
	start       time.Time
	name        string // see newRunName
	recorder    recorder
	callers     map[string]*caller // by callerKey
}

// send starts each request at its arrival time, waits for all of them, and
// returns the snapshot from the end of the undisturbed part.
func (r *runner) send(ctx context.Context, requests []Request) (snapshot, error) {
	r.makeCallers()
	callCtx, cancelCalls := context.WithCancel(ctx)
	defer cancelCalls()
	done := make(chan undisturbedSnapshot, 1)
	go func() { done <- r.undisturbedSnapshot(ctx) }()
	defer r.endSlowdown()
	var group sync.WaitGroup
	for _, request := range requests {
		if pause.For(ctx, time.Until(r.start.Add(request.At))) != nil {
			break
		}
		c := r.callers[callerKey(request.Workspace, request.Region)]
		group.Go(func() { r.recorder.add(c.do(callCtx, request)) })
	}
	timer := time.AfterFunc(time.Until(r.start.Add(r.settings.Duration+r.settings.Grace)), cancelCalls)
	defer timer.Stop()
	group.Wait()
	undisturbed := <-done
	if ctx.Err() != nil {
		return undisturbed.snapshot, eris.Wrap(ErrInterrupted, ctx.Err().Error())
	}
	_ = pause.For(ctx, settleTime)
	return undisturbed.snapshot, undisturbed.err
}

// undisturbedSnapshot is the snapshot from the end of the undisturbed part, or the
// error that prevented it.
type undisturbedSnapshot struct {
	snapshot snapshot
	err      error
}

// undisturbedSnapshot waits for the end of the undisturbed part, takes a snapshot
// and slows the runners.
func (r *runner) undisturbedSnapshot(ctx context.Context) undisturbedSnapshot {
	end := r.settings.undisturbedDuration()
	if pause.For(ctx, time.Until(r.start.Add(end))) != nil {
		return undisturbedSnapshot{err: ctx.Err()}
	}
	s, err := takeSnapshot(ctx, r.description, time.Since(r.start))
	if err == nil && r.settings.SlowRunners > 0 {
		err = setSlowFactor(ctx, r.description, r.settings.SlowRunners, r.settings.SlowFactor)
	}
	return undisturbedSnapshot{s, err}
}

// endSlowdown resets the speed of the runners, also after an interruption.
func (r *runner) endSlowdown() {
	if r.settings.SlowRunners > 0 {
		_ = setSlowFactor(context.Background(), r.description, r.settings.SlowRunners, 1)
	}
}

// callerKey returns the key of runner.callers.
func callerKey(workspace int, region string) string {
	return fmt.Sprintf("%d/%s", workspace, region)
}

// makeCallers creates one caller per workspace and region. Callers of a region
// share an HTTP client.
func (r *runner) makeCallers() {
	r.callers = map[string]*caller{}
	for _, region := range r.description.Regions {
		client := newClient(r.description.ClientIPs[region])
		for i, key := range r.description.Keys {
			r.callers[callerKey(i, region)] = &caller{
				client:      client,
				entries:     &entries{client: client, region: region, key: key.Key, bootstrapAddresses: r.bootstrapAddresses(region, i)},
				key:         key.Key,
				description: r.description,
				runName:     r.name,
				start:       r.start,
			}
		}
	}
}

// bootstrapAddresses returns the caller addresses of all routers, those in region
// first, rotated by workspace to spread the load.
func (r *runner) bootstrapAddresses(region string, workspace int) []string {
	var near, far []string
	n := len(r.description.Routers)
	for i := range n {
		router := r.description.Routers[(i+workspace)%n]
		if router.Region == region {
			near = append(near, router.Caller)
		} else {
			far = append(far, router.Caller)
		}
	}
	return append(near, far...)
}

// newClient returns a client that dials from ip, by which the link relay
// recognizes the region.
func newClient(ip string) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	if ip != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}}
}
