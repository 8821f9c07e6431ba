package router

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lacewingshift/lacewingshift/objectapi"
)

// hostsPeriod is the interval between two reads of the host list. Together with the
// delay of the list itself it determines how soon a leaving upstream gets no more
// requests.
const hostsPeriod = 500 * time.Millisecond

// hostTable is an immutable snapshot of the host list.
type hostTable struct {
	byID      map[string]objectapi.Host
	all       []objectapi.Host
	upstreams []objectapi.Host
	kinds     map[string]objectapi.ServiceKind // by service
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

// hosts polls the platform's host list and holds the latest one.
type hosts struct {
	list     objectapi.HostList
	logger   *log.Logger
	table    atomic.Pointer[hostTable]
	onChange func(*hostTable) // called with each changed list
	// onUnchanged is called with every reportUnchangedEvery-th list that equals the
	// previous one. The membership counts a dead router as known until it gets a list
	// without it.
	onUnchanged    func([]objectapi.Host)
	unchangedCount int
}

// reportUnchangedEvery is the number of unchanged lists per call of hosts.onUnchanged.
const reportUnchangedEvery = 10

// countUnchanged counts an unchanged list, and passes on every
// reportUnchangedEvery-th one.
func (h *hosts) countUnchanged(list []objectapi.Host) {
	h.unchangedCount++
	if h.unchangedCount%reportUnchangedEvery == 0 {
		h.onUnchanged(list)
	}
}

func newHosts(list objectapi.HostList, logger *log.Logger) *hosts {
	h := &hosts{list: list, logger: logger}
	h.table.Store(newHostTable(nil))
	return h
}

// run polls the list until ctx ends. During an outage the last list stays in use.
func (h *hosts) run(ctx context.Context) error {
	ticker := time.NewTicker(hostsPeriod)
	defer ticker.Stop()
	down := false
	for {
		failed := h.read(ctx) != nil
		if failed != down && ctx.Err() == nil {
			h.logger.Warn("availability of the host list changed", "down", failed)
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
		h.countUnchanged(list)
		return nil
	}
	table := newHostTable(list)
	h.table.Store(table)
	h.onChange(table)
	return nil
}

func (h *hosts) lookup(id string) (objectapi.Host, bool) {
	found, ok := h.table.Load().byID[id]
	return found, ok
}
