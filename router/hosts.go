package router

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// hostsPeriod is how often the host list is read. Together with the list's lag
// it decides how soon a leaving upstream gets no new work.
const hostsPeriod = 500 * time.Millisecond

// hostTable is the latest host list, as immutable snapshot.
type hostTable struct {
	byID      map[string]objectapi.Host
	all       []objectapi.Host
	upstreams []objectapi.Host
	kinds     map[string]objectapi.ServiceKind
}

func newHostTable(hosts []objectapi.Host) *hostTable {
	t := &hostTable{
		byID:  map[string]objectapi.Host{},
		all:   hosts,
		kinds: map[string]objectapi.ServiceKind{},
	}
	for _, h := range hosts {
		t.byID[h.ID] = h
		if h.Kind == objectapi.HostUpstream {
			t.upstreams = append(t.upstreams, h)
			t.kinds[h.Service] = h.ServiceKind
		}
	}
	return t
}

// hosts reads the platform's host list.
type hosts struct {
	list    objectapi.HostList
	logger  *log.Logger
	table   atomic.Pointer[hostTable]
	changed func(*hostTable)
	// confirmed gets a list that has not changed, now and then: the members count
	// a dead router as known until a list without it arrives.
	confirmed func([]objectapi.Host)
	unchanged int
}

// confirmEvery is the number of unchanged lists between two confirmations.
const confirmEvery = 10

func (h *hosts) repeat(list []objectapi.Host) {
	h.unchanged++
	if h.unchanged%confirmEvery == 0 {
		h.confirmed(list)
	}
}

func newHosts(list objectapi.HostList, logger *log.Logger) *hosts {
	h := &hosts{list: list, logger: logger}
	h.table.Store(newHostTable(nil))
	return h
}

// run reads the list until ctx ends. An outage leaves the last list in force.
func (h *hosts) run(ctx context.Context) error {
	ticker := time.NewTicker(hostsPeriod)
	defer ticker.Stop()
	down := false
	for {
		failed := h.read(ctx) != nil
		if failed != down && ctx.Err() == nil {
			h.logger.Warn("host list changed its availability", "down", failed)
			down = failed
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *hosts) read(ctx context.Context) error {
	list, err := h.list.Hosts(ctx)
	if err != nil {
		return err
	}
	if slices.Equal(list, h.table.Load().all) {
		h.repeat(list)
		return nil
	}
	table := newHostTable(list)
	h.table.Store(table)
	h.changed(table)
	return nil
}

func (h *hosts) host(id string) (objectapi.Host, bool) {
	found, ok := h.table.Load().byID[id]
	return found, ok
}
