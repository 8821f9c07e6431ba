package capacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/cell"
	"github.com/lacewingshift/lacewingshift/config"
	"github.com/lacewingshift/lacewingshift/dispatch"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

const (
	// planCount is the assumed number of plans. Every plan may use every model,
	// which is the most expensive case for the schedulers.
	planCount = 12
	// changeLogLength is the number of entries in the change log of the lists.
	changeLogLength = 100
	// minCPUTime is the minimum processor time of a measurement.
	minCPUTime = 150 * time.Millisecond
	// runnerSlots is the batch size of one runner, for 55,000 streams on 1,500
	// runners.
	runnerSlots = 36
)

// Lists is one measurement of the lists of plans and workspaces and of the limits
// computed from them.
type Lists struct {
	Workspaces int `json:"workspaces"`
	// Bytes is the encoded size with a full change log.
	Bytes float64 `json:"bytes"`
	// ParseSeconds, LimitsSeconds and LookupSeconds are processor times per call.
	ParseSeconds  float64 `json:"parse_cpu_seconds"`
	LimitsSeconds float64 `json:"limits_cpu_seconds"`
	LookupSeconds float64 `json:"lookup_cpu_seconds"`
	HeapBytes     float64 `json:"heap_bytes"`
}

// View is one measurement of the cost of a new host list for a router.
type View struct {
	Nodes int `json:"nodes"`
	// HostListBytes is the encoded size of the host list.
	HostListBytes float64 `json:"host_list_bytes"`
	// DecodeSeconds and StepSeconds are the processor times to decode the list and
	// to step the cells with the new view.
	DecodeSeconds float64 `json:"decode_cpu_seconds"`
	StepSeconds   float64 `json:"view_step_cpu_seconds"`
	HeapBytes     float64 `json:"heap_bytes"`
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// buildLists returns lists with one key per workspace and a full change log.
func buildLists(workspaces, models, plans int) config.Lists {
	var l config.Lists
	for i := range plans {
		p := config.Plan{Name: fmt.Sprintf("plan-%02d", i), Weight: float64(1 + i%4)}
		for m := range models {
			p.Uses = append(p.Uses, config.Use{Service: modelName(m), MaxQueued: 200})
		}
		l.Plans = append(l.Plans, p)
	}
	for i := range workspaces {
		l.Workspaces = append(l.Workspaces, config.Workspace{
			Name: workspaceName(i), Plan: l.Plans[i%plans].Name, KeysSHA256: []string{fmt.Sprintf("%064x", i+1)},
		})
	}
	for i := range changeLogLength {
		l.Changes = append(l.Changes, config.Change{
			Version: int64(i + 1), Author: "operator", Time: simStart,
			Digest: strings.Repeat("a", 64), ID: fmt.Sprintf("%036d", i),
		})
	}
	return l
}

// MeasureLists measures lists with the given number of workspaces and models.
func MeasureLists(workspaces, models int) (Lists, error) {
	lists := buildLists(workspaces, models, planCount)
	data := lists.Encode()
	if _, err := config.Parse(data); err != nil {
		return Lists{}, err
	}
	return Lists{
		Workspaces:    workspaces,
		Bytes:         float64(len(data)),
		ParseSeconds:  cpuPerCall(minCPUTime, func() { _, _ = config.Parse(data) }),
		LimitsSeconds: cpuPerCall(minCPUTime, func() { lists.Limits() }),
		LookupSeconds: cpuPerCall(minCPUTime, func() { lists.Lookup("no such key") }),
		HeapBytes: heapGrowth(func() any {
			parsed, _ := config.Parse(data)
			return []any{parsed, parsed.Limits()}
		}),
	}, nil
}

// MeasureView measures the cost of a new host list for a router in a fleet of
// size t.
func MeasureView(t Target) View {
	hosts := buildHosts(t)
	body, err := json.Marshal(hosts)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	view := buildView(t, buildLists(t.Workspaces, t.Models, planCount).Limits())
	self := view.Routers[0]
	node := newCellNode(self.Host, self.Region)
	now := simStart
	return View{
		Nodes:         t.Nodes,
		HostListBytes: float64(len(body)),
		DecodeSeconds: cpuPerCall(minCPUTime, func() {
			var list []objectapi.Host
			_ = json.Unmarshal(body, &list)
		}),
		StepSeconds: cpuPerCall(minCPUTime, func() {
			now = now.Add(time.Millisecond)
			node.Step(now, cell.ViewChanged{View: view})
		}),
		HeapBytes: heapGrowth(func() any {
			fresh := newCellNode(self.Host, self.Region)
			fresh.Step(simStart, cell.ViewChanged{View: view})
			return fresh
		}),
	}
}

// buildHosts returns the host list, which contains all routers and runners.
func buildHosts(t Target) []objectapi.Host {
	var hosts []objectapi.Host
	for i := range t.Nodes {
		m := memberOf(i, t)
		hosts = append(hosts, objectapi.Host{
			ID: m.Host, Kind: objectapi.HostRouter, Region: m.Region, DataCentre: m.DataCentre,
			Address: m.Address, PeerAddress: m.PeerAddress, AdminAddress: m.AdminAddress,
		})
	}
	return append(hosts, buildRunners(t)...)
}

// buildRunners returns the runners, distributed round-robin over data centres and
// models.
func buildRunners(t Target) []objectapi.Host {
	var hosts []objectapi.Host
	for i := range t.Runners {
		centre := i % t.DataCentres
		region := regionName(centre % t.Regions)
		hosts = append(hosts, objectapi.Host{
			ID: fmt.Sprintf("%s-e%d", region, i+1), Kind: objectapi.HostUpstream, Region: region,
			DataCentre: fmt.Sprintf("%s-%d", region, centre),
			Address:    fmt.Sprintf("10.%d.%d.%d:8000", 100+centre, i/250, i%250+1),
			Service:    modelName((i / t.DataCentres) % t.Models), ServiceKind: objectapi.ServiceEngine, Slots: runnerSlots,
			ChecksFencing: i%2 == 0,
		})
	}
	return hosts
}

func buildView(t Target, limits map[string]map[string]dispatch.Limits) cell.View {
	view := cell.View{Upstreams: buildRunners(t), Limits: limits}
	for i := range t.Nodes {
		m := memberOf(i, t)
		view.Routers = append(view.Routers, cell.Router{Host: m.Host, Region: m.Region})
	}
	return view
}

func newCellNode(host, region string) *cell.Node {
	return cell.NewNode(cell.Config{
		Host: host, Region: region, Incarnation: host + "/1", Policy: dispatch.DefaultPolicy(),
	})
}
