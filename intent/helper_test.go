package intent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/peer"
)

// fleet is a set of routers that share one object API.
type fleet struct {
	objects *fake.Objects
	forward bool

	mu      sync.Mutex
	stores  map[string]*Store
	live    map[string]uint64 // host to the incarnation that counts as live
	cut     map[string]bool   // hosts that neither send nor receive messages
	lose    float64           // fraction of responses that are lost
	random  *rand.Rand
	options Options
}

func newFleet(t *testing.T, forward bool, seed uint64, options Options) *fleet {
	f := &fleet{
		objects: fake.NewObjects(seed), forward: forward, options: options,
		stores: map[string]*Store{}, live: map[string]uint64{}, cut: map[string]bool{},
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	f.objects.SetFaults(func(o *fake.ObjectFaults) { o.LatencyMillis, o.JitterMillis = 2, 2 })
	t.Cleanup(func() {
		for host := range f.stores {
			f.stores[host].Close()
		}
	})
	return f
}

func (f *fleet) start(host string) *Store {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live[host]++
	opts := f.options
	opts.Host, opts.Incarnation, opts.Seed = host, f.live[host], f.live[host]
	opts.Live = func(host string, incarnation uint64) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.live[host] == incarnation
	}
	if f.forward {
		opts.Transport = fakeTransport{f, host}
	}
	opts.Routers = f.routers
	f.stores[host] = NewStore(f.objects, opts)
	return f.stores[host]
}

func (f *fleet) startAll(count int) []*Store {
	var stores []*Store
	for i := range count {
		stores = append(stores, f.start(fmt.Sprintf("r%d", i)))
	}
	return stores
}

func (f *fleet) routers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []string
	for host := range f.stores {
		hosts = append(hosts, host)
	}
	return hosts
}

func (f *fleet) markDead(host string) {
	f.mu.Lock()
	f.live[host]++
	f.mu.Unlock()
}

// fakeTransport is the transport of one host, with a latency of 1 ms each way.
type fakeTransport struct {
	fleet *fleet
	host  string
}

func (l fakeTransport) Send(string, peer.Part, []byte) {}

func (f fakeTransport) Call(ctx context.Context, to string, _ peer.Part, body []byte) ([]byte, error) {
	f.fleet.mu.Lock()
	store := f.fleet.stores[to]
	cut := f.fleet.cut[to] || f.fleet.cut[f.host]
	lost := f.fleet.random.Float64() < f.fleet.lose
	f.fleet.mu.Unlock()
	time.Sleep(time.Millisecond)
	if cut {
		<-ctx.Done()
		return nil, peer.ErrUnreachable
	}
	response, err := store.Handle(context.WithoutCancel(ctx), f.host, body)
	time.Sleep(time.Millisecond)
	if lost || err != nil || ctx.Err() != nil {
		return nil, peer.ErrUnreachable
	}
	return response, nil
}

// keysOfShard returns keys that share a shard.
func keysOfShard(shard, count int) []Key {
	var keys []Key
	for i := 0; len(keys) < count; i++ {
		key := Key{Workspace: "w", Service: "order-desk", Key: fmt.Sprint(i)}
		if shardOf(key.id()) == shard {
			keys = append(keys, key)
		}
	}
	return keys
}
