package deployment

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

const (
	workspaceCount         = 16
	largePlanWorkspaces    = 3
	standardPlanWorkspaces = 6
)

// Lists is the configuration that operators maintain: customer plans and
// workspaces.
type Lists struct {
	Plans      []PlanEntry      `json:"plans"`
	Workspaces []WorkspaceEntry `json:"workspaces"`
}

// PlanEntry is a customer plan with its weight and the services it may use.
type PlanEntry struct {
	Name   string     `json:"name"`
	Weight float64    `json:"weight"`
	Uses   []UseEntry `json:"uses"`
}

// UseEntry allows a plan to use a service, with a queue limit per workspace.
type UseEntry struct {
	Service   string `json:"service"`
	MaxQueued int    `json:"max_queued"`
}

// WorkspaceEntry is a workspace with its plan and the hashes of its API keys.
type WorkspaceEntry struct {
	Name       string   `json:"name"`
	Plan       string   `json:"plan"`
	KeysSHA256 []string `json:"keys_sha256"`
}

// Key is the API key of a workspace, with what the load generator needs to know
// about the workspace.
type Key struct {
	Workspace string  `json:"workspace"`
	Plan      string  `json:"plan"`
	Weight    float64 `json:"weight"`
	Key       string  `json:"key"`
	// Region is where most callers of the workspace are, and Share its demand
	// relative to other workspaces.
	Region string  `json:"region"`
	Share  float64 `json:"share"`
}

// customerPlans are the three customer plans. The queue limits bound a flooding
// workspace, and share is the demand of each workspace relative to the others.
var customerPlans = []struct {
	name      string
	weight    float64
	maxQueued int
	share     float64
}{
	{"large", 4, 400, 6},
	{"standard", 2, 200, 2},
	{"small", 1, 100, 1},
}

// customerPlanIndex returns the index of a workspace's plan in customerPlans.
func customerPlanIndex(workspace int) int {
	switch {
	case workspace < largePlanWorkspaces:
		return 0
	case workspace < largePlanWorkspaces+standardPlanWorkspaces:
		return 1
	default:
		return 2
	}
}

func (p Plan) lists(keys []Key) Lists {
	var lists Lists
	for _, customerPlan := range customerPlans {
		lists.Plans = append(lists.Plans, PlanEntry{
			Name:   customerPlan.name,
			Weight: customerPlan.weight,
			Uses: []UseEntry{
				{Service: p.Engine, MaxQueued: customerPlan.maxQueued},
				{Service: p.Plain, MaxQueued: customerPlan.maxQueued},
			},
		})
	}
	for _, key := range keys {
		lists.Workspaces = append(lists.Workspaces, WorkspaceEntry{
			Name: key.Workspace, Plan: key.Plan, KeysSHA256: []string{hashKey(key.Key)},
		})
	}
	return lists
}

// keys returns a new key for each workspace. The home regions of the workspaces
// are distributed 8/5/3, so that the demand per region differs from the capacity
// per region.
func (p Plan) keys() []Key {
	var keys []Key
	for i, name := range p.Workspaces {
		customerPlan := customerPlans[customerPlanIndex(i)]
		keys = append(keys, Key{
			Workspace: name,
			Plan:      customerPlan.name,
			Weight:    customerPlan.weight,
			Key:       secret(),
			Region:    p.Regions[homeRegionIndex(i)],
			Share:     customerPlan.share,
		})
	}
	return keys
}

// homeRegionIndex returns the index of a workspace's home region in Plan.Regions.
func homeRegionIndex(workspace int) int {
	return []int{1, 0, 0, 1, 0, 0, 2, 0, 1, 0, 1, 0, 2, 0, 1, 2}[workspace]
}

func secret() string {
	var raw [24]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
