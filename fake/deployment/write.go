package deployment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/settings"
)

// ErrWrite means that a file could not be written.
var ErrWrite = eris.New("cannot write deployment file")

// Upstream is an upstream as the load generator needs it. Control is the address
// of its /control.
type Upstream struct {
	ID      string `json:"id"`
	Region  string `json:"region"`
	Control string `json:"control"`
	Slots   int    `json:"slots"`
}

// Router is a router as the load generator needs it. Caller and Admin are
// addresses.
type Router struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Caller string `json:"caller"`
	Admin  string `json:"admin"`
}

// Description describes a deployment for the load generator.
type Description struct {
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
	// Engine, Plain and WritePath are the same as in Plan.
	Engine    string     `json:"engine"`
	Plain     string     `json:"plain"`
	WritePath string     `json:"write_path"`
	Routers   []Router   `json:"routers"`
	Engines   []Upstream `json:"engines"`
	Plains    []Upstream `json:"plains"`
	// Links is the address of the link relay's /control, or empty without a relay.
	Links string `json:"links,omitempty"`
	// ClientIPs are the source addresses of callers by region.
	ClientIPs map[string]string `json:"client_ips"`
	Keys      []Key             `json:"keys"`
}

// Write writes all files of the deployment into dir, creating it if needed.
// Errors: ErrWrite, ErrCertificate.
func (p Plan) Write(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return eris.Wrap(ErrWrite, err.Error())
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(ErrWrite, err.Error())
	}
	out := &writer{dir: dir}
	keys := p.keys()
	out.json("hosts.json", p.hosts())
	out.json("platform.json", p.platformSettings(dir))
	out.json("engines.json", p.engineSettings())
	out.json("plains.json", p.plainSettings())
	out.json("links.json", p.linksSettings())
	out.json("lists.json", p.lists(keys))
	out.secretJSON("keys.json", keys)
	out.secretJSON("load.json", p.description(keys))
	out.secret("resume.secret", []byte(secret()+"\n"))
	operatorKey := secret()
	out.secret("operator.key", []byte(operatorKey+"\n"))
	if out.err != nil {
		return out.err
	}
	return p.writeRouters(out, operatorKey)
}

func (p Plan) writeRouters(out *writer, operatorKey string) error {
	ca, err := newAuthority(p.Name)
	if err != nil {
		return err
	}
	out.file("ca.pem", ca.pem, 0o644)
	for _, m := range p.routers() {
		certificate, key, err := ca.issue(m.id, p.ip(m), p.publicIP(m))
		if err != nil {
			return err
		}
		out.file(m.id+".pem", certificate, 0o644)
		out.secret(m.id+".key", key)
		out.json("router-"+m.id+".json", p.routerSettings(out.dir, m, operatorKey))
	}
	return out.err
}

func (p Plan) routerSettings(dir string, m machine, operatorKey string) settings.Settings {
	platform := p.platformMachine()
	s := settings.Settings{
		Host:             m.id,
		Region:           m.region,
		DataCentre:       dataCentre(m.region),
		Listen:           settings.Addresses{Caller: p.listenAddress(m, callerPort), Admin: p.listenAddress(m, adminPort), Peer: p.listenAddress(m, peerPort)},
		Advertise:        settings.Addresses{Caller: p.publicAddress(m, callerPort), Admin: p.publicAddress(m, adminPort), Peer: p.publicAddress(m, peerPort)},
		DialFrom:         p.ip(m),
		Operator:         []settings.Operator{{Name: "operator", KeySHA256: hashKey(operatorKey)}},
		ResumeSecretFile: filepath.Join(dir, "resume.secret"),
		Routers:          []string{},
		Policy:           p.policy,
	}
	s.Platform.ObjectsURL = "http://" + p.publicAddress(platform, objectsPort)
	s.Platform.HostsURL = "http://" + p.publicAddress(platform, hostsPort)
	s.TLS.CAFile = filepath.Join(dir, "ca.pem")
	s.TLS.CertFile = filepath.Join(dir, m.id+".pem")
	s.TLS.KeyFile = filepath.Join(dir, m.id+".key")
	s.Log.Level = "info"
	return s
}

func (p Plan) description(keys []Key) Description {
	d := Description{
		Name:      p.Name,
		Regions:   p.Regions[:],
		Engine:    p.Engine,
		Plain:     p.Plain,
		WritePath: p.WritePath,
		ClientIPs: map[string]string{},
		Keys:      keys,
	}
	if !p.direct {
		d.Links = p.linksControlAddress()
	}
	for _, m := range p.routers() {
		d.Routers = append(d.Routers, Router{m.id, m.region, p.publicAddress(m, callerPort), p.listenAddress(m, adminPort)})
	}
	for _, m := range p.engines() {
		d.Engines = append(d.Engines, Upstream{m.id, m.region, p.listenAddress(m, upstreamPort), engineSlots})
	}
	for _, m := range p.plains() {
		d.Plains = append(d.Plains, Upstream{m.id, m.region, p.listenAddress(m, upstreamPort), plainSlots})
	}
	for _, m := range p.clients() {
		d.ClientIPs[m.region] = p.ip(m)
	}
	return d
}

// writer writes files to dir. After the first error, which it keeps, it does
// nothing.
type writer struct {
	dir string
	err error
}

func (w *writer) file(name string, data []byte, mode os.FileMode) {
	if w.err != nil {
		return
	}
	if err := os.WriteFile(filepath.Join(w.dir, name), data, mode); err != nil {
		w.err = eris.Wrap(ErrWrite, err.Error())
	}
}

func (w *writer) secret(name string, data []byte) { w.file(name, data, 0o600) }

func (w *writer) json(name string, value any) {
	data, _ := json.MarshalIndent(value, "", "  ")
	w.file(name, append(data, '\n'), 0o644)
}

func (w *writer) secretJSON(name string, value any) {
	data, _ := json.MarshalIndent(value, "", "  ")
	w.secret(name, append(data, '\n'))
}
