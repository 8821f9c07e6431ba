package deployment

import "github.com/lacewingshift/lacewingshift/fake"

// One-way latencies, see fake.LinksSettings.
const (
	interRegionMillis = 8
	clientMillis      = 3
)

func (p Plan) linksSettings() fake.LinksSettings {
	settings := fake.LinksSettings{
		Control:           p.linksControlAddress(),
		RegionMillis:      p.RegionMillis,
		InterRegionMillis: interRegionMillis,
		ClientMillis:      clientMillis,
		Seed:              1,
	}
	for _, region := range p.Regions {
		settings.Pairs = append(settings.Pairs, fake.LinkPair{A: region, B: platformID, Millis: platformMillis})
	}
	add := func(m machine, tcp, udp []int) {
		settings.Hosts = append(settings.Hosts, fake.LinkHost{
			ID: m.id, Region: m.region, IP: p.ip(m), RelayIP: p.publicIP(m), TCP: tcp, UDP: udp,
		})
	}
	for _, m := range p.routers() {
		add(m, []int{callerPort, adminPort}, []int{peerPort})
	}
	for _, m := range append(p.engines(), p.plains()...) {
		add(m, []int{upstreamPort}, nil)
	}
	add(p.platformMachine(), []int{objectsPort, hostsPort}, nil)
	for _, m := range p.clients() {
		add(m, nil, nil)
		settings.Hosts[len(settings.Hosts)-1].Client = true
	}
	return settings
}
