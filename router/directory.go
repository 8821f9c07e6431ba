package router

import (
	"math/rand/v2"
	"net/http"

	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/entry"
	"github.com/lacewingshift/lacewingshift/member"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// directory implements entry.Directory with the latest configuration, host list and
// members.
type directory struct {
	lists   *lists
	hosts   *hosts
	members *members
}

// CheckConfig implements entry.Directory.
func (d *directory) CheckConfig() *entry.Error {
	if d.lists.current.Load().version == 0 {
		return &entry.Error{
			Status: http.StatusServiceUnavailable, Code: entry.CodeNotReady, NotRun: true,
			Message: "this router has no configuration yet", RetryAfterMS: 1000,
		}
	}
	if !d.lists.serving.Load() {
		return &entry.Error{
			Status: http.StatusServiceUnavailable, Code: entry.CodeConfigUnconfirmed, NotRun: true,
			Message: "this router cannot confirm its configuration, use another address", RetryAfterMS: 1000,
		}
	}
	return nil
}

// Lookup implements entry.Directory.
func (d *directory) Lookup(key string) (config.Workspace, config.Plan, bool) {
	return d.lists.current.Load().lists.Lookup(key)
}

// ServiceKind implements entry.Directory.
func (d *directory) ServiceKind(name string) (objectapi.ServiceKind, bool) {
	kind, ok := d.hosts.table.Load().kinds[name]
	return kind, ok
}

// Entries implements entry.Directory. The routers of a region are in random order,
// so that callers spread evenly over them.
func (d *directory) Entries(region string) []entry.Address {
	live := *d.members.live.Load()
	order := rand.Perm(len(live))
	near := make([]entry.Address, 0, len(live))
	far := make([]entry.Address, 0, len(live))
	for _, i := range order {
		m := live[i]
		if m.State != member.Alive || m.Address == "" {
			continue
		}
		address := entry.Address{Address: m.Address, Region: m.Region, Host: m.Host}
		if m.Region == region {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...)
}
