// Package deployment writes the files of a complete deployment on loopback
// addresses: settings of the routers and the fake services, the host list, the
// lists of plans and workspaces, keys and certificates.
package deployment

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// Errors of FindPlan.
var (
	ErrUnknownName = eris.New("unknown deployment name")
	ErrNetwork     = eris.New("network number must be between 1 and 254, or 0 for the default")
)

// Ports of a deployment. Every host has its own IP, so a port has the same meaning
// on all hosts.
const (
	callerPort   = 7000
	peerPort     = 7001
	adminPort    = 7002
	upstreamPort = 8000
	objectsPort  = 9000
	hostsPort    = 9001
	linksPort    = 9100
)

// Last IP address byte of the first host of each kind in a region.
const (
	firstRouter = 1
	firstEngine = 101
	firstPlain  = 151
	firstClient = 201
)

const (
	engineSlots = 4
	plainSlots  = 8

	// platformRegionByte is the third IP address byte of the platform's services.
	platformRegionByte = 9
	platformID         = "platform"
	// platformMillis is the one-way latency between the platform and any region.
	platformMillis = 2
	hostsLagMillis = 2000
)

// Hosts per region: 8 routers spread as evenly as possible, and 12 engines spread
// so that the capacity per region differs from the demand per region.
var (
	routersPerRegion = [3]int{3, 3, 2}
	enginesPerRegion = [3]int{6, 4, 2}
)

// Plan defines the regions, hosts, services and workspaces of a deployment. It is
// unrelated to the customer plans of the workspaces.
type Plan struct {
	Name    string
	Regions [3]string
	// Engine and Plain are the service names. WritePath is the path on the plain
	// service for writes that must run at most once, such as "/orders".
	Engine    string
	Plain     string
	WritePath string
	// RegionMillis is the one-way latency within a region.
	RegionMillis float64
	Workspaces   [workspaceCount]string
	// network is the second byte of the hosts' addresses. The link relay uses the
	// next number.
	network int
	// direct, policy and slowSpells are the same as in Options.
	direct     bool
	policy     string
	slowSpells bool
}

// Options modify a plan.
type Options struct {
	// Direct connects hosts without the link relay.
	Direct bool
	// Network is the second byte of all host addresses, or zero for the default of
	// the plan. The link relay uses the next number. Deployments with different
	// networks can run at the same time.
	Network int
	// Policy is the scheduling policy of the routers, or empty for the default.
	Policy string
	// SlowSpells makes engines run slowly for short random periods, as they do in
	// production.
	SlowSpells bool
}

// Slow spells of an engine with Options.SlowSpells.
const (
	meanSpellGapMillis = 60_000
	spellMillis        = 3_000
	spellFactor        = 5
)

// FindPlan returns the plan with the given name, modified by options. Errors:
// ErrUnknownName, ErrNetwork.
func FindPlan(name string, options Options) (Plan, error) {
	if options.Network < 0 || options.Network > 254 {
		return Plan{}, eris.Wrapf(ErrNetwork, "network %d", options.Network)
	}
	for _, plan := range plans {
		if plan.Name == name {
			plan.direct = options.Direct
			plan.policy = options.Policy
			plan.slowSpells = options.SlowSpells
			if options.Network > 0 {
				plan.network = options.Network
			}
			return plan, nil
		}
	}
	return Plan{}, eris.Wrapf(ErrUnknownName, "name %q", name)
}

var plans = []Plan{
	{
		Name:         "piedmont",
		Regions:      [3]string{"upstate", "lowcountry", "midlands"},
		Engine:       "plate-scribe",
		Plain:        "order-desk",
		WritePath:    "/orders",
		RegionMillis: 0.5,
		Workspaces: [workspaceCount]string{
			"saluda", "congaree", "edisto", "keowee", "catawba", "wateree", "combahee", "ashepoo",
			"santee", "lumber", "waccamaw", "pacolet", "tyger", "enoree", "reedy", "broad",
		},
		network: 10,
	},
	{
		Name:         "solas",
		Regions:      [3]string{"leinster", "munster", "connacht"},
		Engine:       "drafting-llm",
		Plain:        "bookings-app",
		WritePath:    "/deposits",
		RegionMillis: 1,
		Workspaces: [workspaceCount]string{
			"liffey", "slaney", "barrow", "nore", "suir", "blackwater", "lee", "bandon",
			"maigue", "corrib", "moy", "erne", "boyne", "fane", "dodder", "tolka",
		},
		network: 20,
	},
}

// machine is a host of a plan. Its IP address ends with regionByte and hostByte.
type machine struct {
	id         string
	region     string
	regionByte int
	hostByte   int
}

// machines returns the hosts of one kind. Their ids contain letter, and the last
// bytes of their IP addresses start at first in each region.
func (p Plan) machines(letter string, first int, perRegion [3]int) []machine {
	var machines []machine
	for i, region := range p.Regions {
		for n := range perRegion[i] {
			machines = append(machines, machine{
				id:         fmt.Sprintf("%s-%s%d", region, letter, n+1),
				region:     region,
				regionByte: i + 1,
				hostByte:   first + n,
			})
		}
	}
	return machines
}

func (p Plan) routers() []machine { return p.machines("r", firstRouter, routersPerRegion) }
func (p Plan) engines() []machine { return p.machines("e", firstEngine, enginesPerRegion) }
func (p Plan) plains() []machine  { return p.machines("p", firstPlain, [3]int{1, 1, 1}) }
func (p Plan) clients() []machine { return p.machines("c", firstClient, [3]int{1, 1, 1}) }

func (p Plan) platformMachine() machine {
	return machine{id: platformID, region: platformID, regionByte: platformRegionByte, hostByte: 1}
}

// ip returns the address on which m listens and from which it dials.
func (p Plan) ip(m machine) string {
	return fmt.Sprintf("127.%d.%d.%d", p.network, m.regionByte, m.hostByte)
}

// publicIP returns the address to which other hosts connect to reach m.
func (p Plan) publicIP(m machine) string {
	if p.direct {
		return p.ip(m)
	}
	return fmt.Sprintf("127.%d.%d.%d", p.network+1, m.regionByte, m.hostByte)
}

func (p Plan) listenAddress(m machine, port int) string {
	return net.JoinHostPort(p.ip(m), strconv.Itoa(port))
}

func (p Plan) publicAddress(m machine, port int) string {
	return net.JoinHostPort(p.publicIP(m), strconv.Itoa(port))
}

func (p Plan) linksControlAddress() string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.2", p.network, platformRegionByte), strconv.Itoa(linksPort))
}

func dataCentre(region string) string { return region + "-1" }

// hosts returns the host list.
func (p Plan) hosts() []objectapi.Host {
	var hosts []objectapi.Host
	for _, m := range p.routers() {
		hosts = append(hosts, objectapi.Host{
			ID: m.id, Kind: objectapi.HostRouter, Region: m.region, DataCentre: dataCentre(m.region),
			Address:      p.publicAddress(m, callerPort),
			PeerAddress:  p.publicAddress(m, peerPort),
			AdminAddress: p.publicAddress(m, adminPort),
		})
	}
	for _, m := range p.engines() {
		hosts = append(hosts, p.upstream(m, p.Engine, objectapi.ServiceEngine, engineSlots))
	}
	for _, m := range p.plains() {
		hosts = append(hosts, p.upstream(m, p.Plain, objectapi.ServicePlain, plainSlots))
	}
	return hosts
}

func (p Plan) upstream(m machine, service string, kind objectapi.ServiceKind, slots int) objectapi.Host {
	return objectapi.Host{
		ID: m.id, Kind: objectapi.HostUpstream, Region: m.region, DataCentre: dataCentre(m.region),
		Address: p.publicAddress(m, upstreamPort),
		Service: service, ServiceKind: kind, Slots: slots,
		ChecksFencing: kind == objectapi.ServiceEngine && checksFencing(m),
	}
}

// checksFencing reports whether engine m checks fencing numbers. Every second
// engine ignores them, because some engines in production do.
func checksFencing(m machine) bool { return m.hostByte%2 == 1 }

func (p Plan) engineSettings() []fake.EngineSettings {
	var settings []fake.EngineSettings
	for _, m := range p.engines() {
		settings = append(settings, fake.EngineSettings{
			ID: m.id, Listen: p.listenAddress(m, upstreamPort), Slots: engineSlots, ChecksFencing: checksFencing(m),
			Spells: p.spells(m),
		})
	}
	return settings
}

// spells returns the slow spells of an engine, with a different seed per engine.
func (p Plan) spells(m machine) fake.SpellSettings {
	if !p.slowSpells {
		return fake.SpellSettings{}
	}
	return fake.SpellSettings{
		Seed:          uint64(m.regionByte)<<8 | uint64(m.hostByte),
		MeanGapMillis: meanSpellGapMillis,
		Millis:        spellMillis,
		Factor:        spellFactor,
	}
}

func (p Plan) plainSettings() []fake.PlainSettings {
	var settings []fake.PlainSettings
	for _, m := range p.plains() {
		settings = append(settings, fake.PlainSettings{ID: m.id, Listen: p.listenAddress(m, upstreamPort), Slots: plainSlots})
	}
	return settings
}

// PlatformSettings configure the fake object API and the fake host list.
type PlatformSettings struct {
	ObjectsListen  string  `json:"objects_listen"`
	HostsListen    string  `json:"hosts_listen"`
	HostsFile      string  `json:"hosts_file"`
	HostsLagMillis float64 `json:"hosts_lag_ms"`
	Seed           uint64  `json:"seed"`
}

func (p Plan) platformSettings(dir string) PlatformSettings {
	m := p.platformMachine()
	return PlatformSettings{
		ObjectsListen:  p.listenAddress(m, objectsPort),
		HostsListen:    p.listenAddress(m, hostsPort),
		HostsFile:      filepath.Join(dir, "hosts.json"),
		HostsLagMillis: hostsLagMillis,
		Seed:           1,
	}
}
