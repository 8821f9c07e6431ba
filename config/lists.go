// Package config holds the configuration of the fleet, which consists of two
// lists: the workspaces with their plans, and the plans with the services that
// they allow. It validates the lists, stores them in the object API and decides
// which version of them a router uses.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/lacewingshift/lacewingshift/dispatch"
)

// Lists is the configuration of the fleet: the list of workspaces, the list of
// plans, and a log of the latest changes.
type Lists struct {
	Workspaces []Workspace `json:"workspaces"`
	Plans      []Plan      `json:"plans"`
	// Changes is set by Store.Apply, which ignores its previous value.
	Changes []Change `json:"changes,omitempty"`
}

// Workspace is a group of callers that share one plan.
type Workspace struct {
	Name string `json:"name"`
	Plan string `json:"plan"`
	// KeysSHA256 are the SHA-256 hashes of the caller keys in hexadecimal.
	KeysSHA256 []string `json:"keys_sha256"`
}

// Plan defines which services a workspace may use, and its share of them.
type Plan struct {
	Name string `json:"name"`
	// Weight is the workspace's share relative to other workspaces. It is above
	// zero.
	Weight float64 `json:"weight"`
	Uses   []Use   `json:"uses"`
}

// Use allows one service and sets limits on its use.
type Use struct {
	Service string `json:"service"`
	// MaxRunning and MaxQueued limit the running and the waiting requests of a
	// workspace, see dispatch.Limits.
	MaxRunning int `json:"max_running,omitempty"`
	MaxQueued  int `json:"max_queued,omitempty"`
	// MaxBodyBytes limits the size of a request body. Zero means the limit of package
	// entry, which is also the highest one.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// MaxDeadlineMS limits the time from the arrival of a request to its deadline.
	// Zero means no limit.
	MaxDeadlineMS int64 `json:"max_deadline_ms,omitempty"`
}

// Change is an entry in the log of changes.
type Change struct {
	Version int64     `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	// Digest is the SHA-256 hash of both lists in hexadecimal.
	Digest string `json:"digest"`
	// ID is random. It is used to find out whether a write whose answer was lost
	// took effect.
	ID string `json:"id"`
}

// Lookup returns the workspace of a caller key and its plan. It compares every
// stored hash, so that the time it takes does not depend on the key.
func (l Lists) Lookup(key string) (Workspace, Plan, bool) {
	sum := sha256.Sum256([]byte(key))
	wanted := hex.AppendEncode(nil, sum[:])
	found := -1
	for i := range l.Workspaces {
		for _, stored := range l.Workspaces[i].KeysSHA256 {
			if subtle.ConstantTimeCompare(wanted, []byte(stored)) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Workspace{}, Plan{}, false
	}
	plan, ok := l.Plan(l.Workspaces[found].Plan)
	return l.Workspaces[found], plan, ok
}

// Plan returns the plan with the given name.
func (l Lists) Plan(name string) (Plan, bool) {
	for _, plan := range l.Plans {
		if plan.Name == name {
			return plan, true
		}
	}
	return Plan{}, false
}

// Use returns the plan's limits for service. It reports false if the plan does
// not allow the service.
func (p Plan) Use(service string) (Use, bool) {
	for _, use := range p.Uses {
		if use.Service == service {
			return use, true
		}
	}
	return Use{}, false
}

// Limits returns the weights and limits for the scheduler, by service and
// workspace.
func (l Lists) Limits() map[string]map[string]dispatch.Limits {
	plans := make(map[string]Plan, len(l.Plans))
	for _, plan := range l.Plans {
		plans[plan.Name] = plan
	}
	limits := map[string]map[string]dispatch.Limits{}
	for _, workspace := range l.Workspaces {
		plan := plans[workspace.Plan]
		for _, use := range plan.Uses {
			if limits[use.Service] == nil {
				limits[use.Service] = map[string]dispatch.Limits{}
			}
			limits[use.Service][workspace.Name] = limitsOf(plan, use)
		}
	}
	return limits
}

func limitsOf(plan Plan, use Use) dispatch.Limits {
	return dispatch.Limits{Weight: plan.Weight, MaxRunning: use.MaxRunning, MaxQueued: use.MaxQueued}
}

// Digest returns the SHA-256 hash of both lists, without the change log, in
// hexadecimal.
func (l Lists) Digest() string {
	l.Changes = nil
	sum := sha256.Sum256(l.encode())
	return hex.EncodeToString(sum[:])
}

// Encode returns the compact JSON form of the lists, which Parse reads.
func (l Lists) Encode() []byte { return l.encode() }

// withoutNil returns a copy in which nil slices are replaced by empty ones. They
// are encoded as [] and not as null, which Parse rejects.
func (l Lists) withoutNil() Lists {
	l.Workspaces = append([]Workspace{}, l.Workspaces...)
	for i := range l.Workspaces {
		l.Workspaces[i].KeysSHA256 = append([]string{}, l.Workspaces[i].KeysSHA256...)
	}
	l.Plans = append([]Plan{}, l.Plans...)
	for i := range l.Plans {
		l.Plans[i].Uses = append([]Use{}, l.Plans[i].Uses...)
	}
	return l
}

func (l Lists) encode() []byte {
	l = l.withoutNil()
	data, err := json.Marshal(l)
	if err != nil {
		// Only an infinite weight or a year beyond 9999 cannot be encoded, and
		// neither passes validation. Parse rejects an empty document.
		return nil
	}
	return data
}
