package router

import (
	"context"

	"github.com/lacewingshift/lacewingshift/intent"
	"github.com/lacewingshift/lacewingshift/member"
)

// buildRecords returns the store of the records of calls with an idempotency key,
// connected to the membership and the peers.
func (r *Router) buildRecords() *intent.Store {
	return intent.NewStore(r.objects, intent.Options{
		Host:        r.settings.Host,
		Incarnation: r.memberIncarnation(),
		Live:        r.holderAlive,
		Transport:   r.quic,
		Routers:     r.recordOwners,
		Events:      r.events,
		Seed:        uint64(r.started.UnixNano()),
	})
}

// holderAlive reports whether the router that holds a record may still finish it: the
// same incarnation of the router must be in the fleet. An unknown router counts as
// lost.
func (r *Router) holderAlive(host string, incarnation uint64) bool {
	for _, m := range *r.members.all.Load() {
		if m.Host == host {
			return m.Incarnation == incarnation && m.State != member.Dead && m.State != member.Left
		}
	}
	return host == r.settings.Host
}

// recordOwners returns the routers that can own records: those that are alive and not
// leaving.
func (r *Router) recordOwners() []string {
	var owners []string
	for _, m := range *r.members.live.Load() {
		if m.State == member.Alive {
			owners = append(owners, m.Host)
		}
	}
	return owners
}

// flushRecords writes pending changes of records, so that a router that leaves does
// not leave records open.
func (r *Router) flushRecords() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := r.records.Flush(ctx); err != nil {
		r.partLogger("intent").Warn("pending records could not be written at shutdown", "err", err.Error())
	}
	r.records.Close()
}
