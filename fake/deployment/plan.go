// Package deployment writes everything that a whole deployment on loopback
// addresses needs: settings of routers and stand-ins, host list, lists, keys
// and certificates.
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

// Errors of Find.
var (
	ErrUnknownName = eris.New("deployment is not known")
	ErrNetwork     = eris.New("network is not between 1 and 254")
)

// Ports of a deployment. Hosts differ by address, so each port has one meaning.
const (
	callerPort   = 7000
	peerPort     = 7001
	adminPort    = 7002
	upstreamPort = 8000
	objectsPort  = 9000
	hostsPort    = 9001
	linksPort    = 9100
)

// Last address bytes of the kinds of hosts within a region.
const (
	firstRouter = 1
	firstEngine = 101
	firstPlain  = 151
	client      = 201
)

const (
	engineSlots = 4
	plainSlots  = 8

	// platformRegion is the region byte of the platform's services.
	platformRegion = 9
	platformID     = "platform"
	// platformMillis is the latency to the platform, which is as far from each
	// region.
	platformMillis = 2
	hostsLagMillis = 2000
)

// Sizes per region: routers as evenly as 8 allow, runners so that the capacity
// per region differs from the demand per region.
var (
	routersPerRegion = [3]int{3, 3, 2}
	enginesPerRegion = [3]int{6, 4, 2}
)

// Plan is the shape of a deployment.
type Plan struct {
	Name    string
	Regions [3]string
	// Engine and Plain are the services; WritePath is the path of the plain service
	// that must not be repeated, such as "/orders".
	Engine    string
	Plain     string
	WritePath string
	// RegionMillis is the latency within a region.
	RegionMillis float64
	Workspaces   [workspaceCount]string
	// network is the second byte of the hosts' addresses; the relay uses the
	// next one.
	network int
	direct  bool
	policy  string
	// slowSpells makes engines slow down at random.
	slowSpells bool
}

// Options change a plan.
type Options struct {
	// Direct connects hosts without the relay.
	Direct bool
	// Network is the second byte of all host addresses, zero for that of the
	// plan. The relay uses the next one. Deployments with networks of their own
	// can run side by side.
	Network int
	// Policy is the scheduling policy of the routers, empty for the default.
	Policy string
	// SlowSpells makes engines slow down briefly at random, as they do in the
	// field.
	SlowSpells bool
}

// Slow spells of an engine, where they are asked for: one a minute on average.
const (
	spellGapMillis = 60_000
	spellMillis    = 3_000
	spellFactor    = 5
)

// Find returns the plan of the deployment name. Errors: ErrUnknownName,
// ErrNetwork.
func Find(name string, options Options) (Plan, error) {
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

// machine is a host of the plan.
type machine struct {
	id     string
	region string
	site   int
	number int
}

func (p Plan) machines(letter string, first int, perRegion [3]int) []machine {
	var machines []machine
	for i, region := range p.Regions {
		for n := range perRegion[i] {
			machines = append(machines, machine{
				id:     fmt.Sprintf("%s-%s%d", region, letter, n+1),
				region: region,
				site:   i + 1,
				number: first + n,
			})
		}
	}
	return machines
}

func (p Plan) routers() []machine { return p.machines("r", firstRouter, routersPerRegion) }
func (p Plan) engines() []machine { return p.machines("e", firstEngine, enginesPerRegion) }
func (p Plan) plains() []machine  { return p.machines("p", firstPlain, [3]int{1, 1, 1}) }
func (p Plan) clients() []machine { return p.machines("c", client, [3]int{1, 1, 1}) }

func (p Plan) platformMachine() machine {
	return machine{id: platformID, region: platformID, site: platformRegion, number: 1}
}

// ip returns the address at which m listens and from which it dials.
func (p Plan) ip(m machine) string {
	return fmt.Sprintf("127.%d.%d.%d", p.network, m.site, m.number)
}

// publicIP returns the address at which others reach m.
func (p Plan) publicIP(m machine) string {
	if p.direct {
		return p.ip(m)
	}
	return fmt.Sprintf("127.%d.%d.%d", p.network+1, m.site, m.number)
}

func (p Plan) own(m machine, port int) string {
	return net.JoinHostPort(p.ip(m), strconv.Itoa(port))
}

func (p Plan) public(m machine, port int) string {
	return net.JoinHostPort(p.publicIP(m), strconv.Itoa(port))
}

func (p Plan) linksControl() string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.2", p.network, platformRegion), strconv.Itoa(linksPort))
}

func dataCentre(region string) string { return region + "-1" }

// hosts returns the host list.
func (p Plan) hosts() []objectapi.Host {
	var hosts []objectapi.Host
	for _, m := range p.routers() {
		hosts = append(hosts, objectapi.Host{
			ID: m.id, Kind: objectapi.HostRouter, Region: m.region, DataCentre: dataCentre(m.region),
			Address:      p.public(m, callerPort),
			PeerAddress:  p.public(m, peerPort),
			AdminAddress: p.public(m, adminPort),
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
		Address: p.public(m, upstreamPort),
		Service: service, ServiceKind: kind, Slots: slots,
		ChecksFencing: kind == objectapi.ServiceEngine && checksFencing(m),
	}
}

// checksFencing makes every other engine ignore fencing numbers, because some
// engines in the field do.
func checksFencing(m machine) bool { return m.number%2 == 1 }

func (p Plan) engineSettings() []fake.EngineSettings {
	var settings []fake.EngineSettings
	for _, m := range p.engines() {
		settings = append(settings, fake.EngineSettings{
			ID: m.id, Listen: p.own(m, upstreamPort), Slots: engineSlots, ChecksFencing: checksFencing(m),
			Spells: p.spells(m),
		})
	}
	return settings
}

// spells returns the slow spells of an engine, which differ between engines.
func (p Plan) spells(m machine) fake.SpellSettings {
	if !p.slowSpells {
		return fake.SpellSettings{}
	}
	return fake.SpellSettings{
		Seed:          uint64(m.site)<<8 | uint64(m.number),
		MeanGapMillis: spellGapMillis,
		Millis:        spellMillis,
		Factor:        spellFactor,
	}
}

func (p Plan) plainSettings() []fake.PlainSettings {
	var settings []fake.PlainSettings
	for _, m := range p.plains() {
		settings = append(settings, fake.PlainSettings{ID: m.id, Listen: p.own(m, upstreamPort), Slots: plainSlots})
	}
	return settings
}

// PlatformSettings configure the stand-ins of the object API and the host list.
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
		ObjectsListen:  p.own(m, objectsPort),
		HostsListen:    p.own(m, hostsPort),
		HostsFile:      filepath.Join(dir, "hosts.json"),
		HostsLagMillis: hostsLagMillis,
		Seed:           1,
	}
}
