package capacity

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingshift/lacewingshift/event"
	"github.com/lacewingshift/lacewingshift/intent"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// Records is one measurement of the records that make keyed calls run at most
// once.
type Records struct {
	Calls int `json:"ended_calls"`
	// FullBytes is the stored size over all shards while outcomes are kept, and
	// CompactBytes the size after they have been dropped.
	FullBytes    float64 `json:"full_bytes"`
	CompactBytes float64 `json:"compact_bytes"`
	// Writes and Reads count object API calls per keyed call. CPUSeconds is the
	// processor time per keyed call.
	Writes     float64 `json:"writes_per_call"`
	Reads      float64 `json:"reads_per_call"`
	CPUSeconds float64 `json:"cpu_seconds_per_call"`
}

const (
	// recordCallers is the number of concurrent calls, as from the entries of a fleet.
	recordCallers = 64
	// outcomeBytes is the size of the stored response of a call.
	outcomeBytes = 100
)

// memoryObjects is an in-memory object API that counts calls.
type memoryObjects struct {
	mu            sync.Mutex
	objects       map[string]objectapi.Object
	reads, writes atomic.Int64
}

// Get implements objectapi.Objects.
func (m *memoryObjects) Get(_ context.Context, name string) (objectapi.Object, error) {
	m.reads.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.objects[name]; ok {
		return o, nil
	}
	return objectapi.Object{}, objectapi.ErrNotFound
}

// Put implements objectapi.Objects.
func (m *memoryObjects) Put(_ context.Context, name string, value []byte, ifVersion int64) (objectapi.Object, error) {
	m.writes.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[name].Version != ifVersion {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	o := objectapi.Object{Name: name, Version: ifVersion + 1, Value: value}
	m.objects[name] = o
	return o, nil
}

// Watch implements objectapi.Objects. Records are not watched.
func (m *memoryObjects) Watch(context.Context, string, int64) (objectapi.Object, error) {
	return objectapi.Object{}, objectapi.ErrUnavailable
}

func (m *memoryObjects) bytes() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, o := range m.objects {
		total += len(o.Value)
	}
	return float64(total)
}

// MeasureRecords measures the records of the given number of completed keyed
// calls. Error: ErrMeasure.
func MeasureRecords(calls int) (Records, error) {
	r := Records{Calls: calls}
	objects := &memoryObjects{objects: map[string]objectapi.Object{}}
	before := cpuTime()
	if err := runCalls(objects, "a", calls, intent.DefaultKeepOutcome); err != nil {
		return r, err
	}
	r.CPUSeconds = (cpuTime() - before).Seconds() / float64(calls)
	r.Writes = float64(objects.writes.Load()) / float64(calls)
	r.Reads = float64(objects.reads.Load()) / float64(calls)
	r.FullBytes = objects.bytes()
	// More calls make every shard rewrite its expired outcomes in compact form.
	if err := runCalls(objects, "b", 16*intent.Shards, time.Nanosecond); err != nil {
		return r, err
	}
	r.CompactBytes = objects.bytes()
	return r, nil
}

func runCalls(objects objectapi.Objects, prefix string, calls int, keep time.Duration) error {
	store := intent.NewStore(objects, intent.Options{
		Host: "region0-r1", Incarnation: 1, KeepOutcome: keep,
		WriteInterval: time.Millisecond, FinishDelay: time.Millisecond, WriteBudget: 1e6,
	})
	defer store.Close()
	var group errgroup.Group
	group.SetLimit(recordCallers)
	for i := range calls {
		group.Go(func() error { return runCall(store, fmt.Sprintf("%s-%d", prefix, i)) })
	}
	if err := group.Wait(); err != nil {
		return eris.Wrap(ErrMeasure, err.Error())
	}
	return store.Flush(context.Background())
}

func runCall(store *intent.Store, key string) error {
	ctx := context.Background()
	attempt, err := store.Begin(ctx, intent.Key{Workspace: workspaceName(1), Service: "order-desk", Key: key}, []byte(key))
	if err != nil {
		return err
	}
	return attempt.Finish(ctx, intent.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, outcomeBytes)})
}

// Timeline is the cost of one timeline event.
type Timeline struct {
	HeapBytes  float64 `json:"heap_bytes_per_event"`
	CPUSeconds float64 `json:"cpu_seconds_per_event"`
}

// eventsMeasured is the capacity of the event log.
const eventsMeasured = 32_768

// MeasureTimeline measures a full event log.
func MeasureTimeline() Timeline {
	var log *event.Log
	heap := heapGrowth(func() any {
		log = event.NewLog("region0-r1", eventsMeasured, event.NewClock(nil))
		for i := range eventsMeasured {
			log.Add(event.Event{
				Part: "cell", Name: "granted", Request: fmt.Sprintf("%032d", i),
				Workspace: workspaceName(i % 1400), Upstream: "region0-e1",
			})
		}
		return log
	})
	cpu := cpuPerCall(minCPUTime, func() {
		for range eventsMeasured {
			log.Add(event.Event{Part: "cell", Name: "granted"})
		}
	})
	runtime.KeepAlive(log)
	return Timeline{HeapBytes: heap / eventsMeasured, CPUSeconds: cpu / eventsMeasured}
}
