// Package settings reads and validates the settings file of a router, and loads the
// files that it names.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/config/strictjson"
	"github.com/lacewingshift/lacewingshift/peer"
)

// Errors of this package. A settings file with faults results in an *InvalidError.
var (
	ErrUnreadable = eris.New("cannot read settings file")
	ErrKeys       = eris.New("cannot use certificate or key file")
)

// InvalidError lists all faults of a settings file.
type InvalidError struct {
	Faults []strictjson.Fault
}

// Error returns the faults, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// faultReport collects the faults of a settings file.
type faultReport struct {
	lines  strictjson.Lines
	faults []strictjson.Fault
}

// addf adds a fault, unless there is one already for the same field, for a field
// inside it or for one that encloses it: the decoded value may then differ from the
// one in the file.
func (r *faultReport) addf(path, format string, args ...any) {
	for _, fault := range r.faults {
		if encloses(fault.Path, path) || encloses(path, fault.Path) {
			return
		}
	}
	message := fmt.Sprintf(format, args...)
	r.faults = append(r.faults, strictjson.Fault{Path: path, Line: r.lines.Line(path), Message: message})
}

// encloses reports whether the value at path inner is the value at path outer or a
// part of it.
func encloses(outer, inner string) bool {
	rest, ok := strings.CutPrefix(inner, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// Settings are the settings of a router.
type Settings struct {
	// Host is the id of this router, which is unique in the fleet.
	Host       string    `json:"host"`
	Region     string    `json:"region"`
	DataCentre string    `json:"data_centre"`
	Listen     Addresses `json:"listen"`
	// Advertise holds the addresses at which others reach this router. An empty one
	// defaults to that in Listen.
	Advertise Addresses `json:"advertise"`
	// DialFrom is the source IP address of connections to upstreams. If it is empty,
	// the system chooses one.
	DialFrom string     `json:"dial_from"`
	Platform Platform   `json:"platform"`
	TLS      TLS        `json:"tls"`
	Operator []Operator `json:"operators"`
	// ResumeSecretFile is the file with the secret that protects resume tokens. All
	// routers must have the same secret.
	ResumeSecretFile string `json:"resume_secret_file"`
	Log              Log    `json:"log"`
	// Routers is accepted but not used: the peers come from the host list.
	Routers []string `json:"routers"`
	// Policy selects the scheduling policy: "lacewing" (default), "fifo" or
	// "fair_local".
	Policy string `json:"policy"`
}

// Addresses are the addresses of a router, each of the form IP:port.
type Addresses struct {
	Caller string `json:"caller"`
	Admin  string `json:"admin"`
	Peer   string `json:"peer"`
}

// Platform holds the URLs of the platform's object API and host list.
type Platform struct {
	ObjectsURL string `json:"objects_url"`
	HostsURL   string `json:"hosts_url"`
}

// TLS holds the names of the PEM files for mutual TLS between routers.
type TLS struct {
	CAFile   string `json:"ca_file"`
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 hash of the operator's key in hexadecimal.
	KeySHA256 string `json:"key_sha256"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is "debug", "info" (default), "warn" or "error".
	Level string `json:"level"`
}

// Load reads and validates a settings file. Its errors are ErrUnreadable and
// *InvalidError.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrap(ErrUnreadable, err.Error())
	}
	return Parse(data)
}

// Parse decodes and validates settings. Its error is an *InvalidError.
func Parse(data []byte) (Settings, error) {
	var s Settings
	lines, faults := strictjson.Decode(data, &s)
	r := &faultReport{lines: lines, faults: faults}
	if len(faults) == 0 || decodeRest(data, &s) {
		s.check(r)
	}
	if len(r.faults) > 0 {
		return Settings{}, &InvalidError{Faults: r.faults}
	}
	s.setDefaults()
	return s, nil
}

// decodeRest decodes the valid fields of a faulty document into s, so that they are
// checked as well. It reports whether the document is valid JSON.
func decodeRest(data []byte, s *Settings) bool {
	err := json.Unmarshal(data, s)
	var wrongType *json.UnmarshalTypeError
	return err == nil || errors.As(err, &wrongType)
}

func (s *Settings) setDefaults() {
	setDefault(&s.Advertise.Caller, s.Listen.Caller)
	setDefault(&s.Advertise.Admin, s.Listen.Admin)
	setDefault(&s.Advertise.Peer, s.Listen.Peer)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Policy, "lacewing")
}

func setDefault(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func (s *Settings) check(r *faultReport) {
	checkName(r, "host", s.Host)
	checkName(r, "region", s.Region)
	checkName(r, "data_centre", s.DataCentre)
	checkAddress(r, "listen.caller", s.Listen.Caller)
	checkAddress(r, "listen.admin", s.Listen.Admin)
	checkAddress(r, "listen.peer", s.Listen.Peer)
	checkOptionalAddress(r, "advertise.caller", s.Advertise.Caller)
	checkOptionalAddress(r, "advertise.admin", s.Advertise.Admin)
	checkOptionalAddress(r, "advertise.peer", s.Advertise.Peer)
	if s.DialFrom != "" && net.ParseIP(s.DialFrom) == nil {
		r.addf("dial_from", "%q is not an IP number", s.DialFrom)
	}
	checkURL(r, "platform.objects_url", s.Platform.ObjectsURL)
	checkURL(r, "platform.hosts_url", s.Platform.HostsURL)
	checkPresent(r, "tls.ca_file", s.TLS.CAFile)
	checkPresent(r, "tls.cert_file", s.TLS.CertFile)
	checkPresent(r, "tls.key_file", s.TLS.KeyFile)
	checkPresent(r, "resume_secret_file", s.ResumeSecretFile)
	for _, o := range s.Operator {
		if o.Name == "" || !hashPattern.MatchString(o.KeySHA256) {
			r.addf("operators", "operator %q needs a name and key_sha256 with 64 hexadecimal digits", o.Name)
		}
	}
	checkChoice(r, "log.level", s.Log.Level, "", "debug", "info", "warn", "error")
	checkChoice(r, "policy", s.Policy, "", "lacewing", "fifo", "fair_local")
}

func checkName(r *faultReport, path, value string) {
	if !namePattern.MatchString(value) {
		r.addf(path, "%q is not a name of lower-case letters, digits and hyphens", value)
	}
}

func checkPresent(r *faultReport, path, value string) {
	if value == "" {
		r.addf(path, "a value is needed")
	}
}

func checkAddress(r *faultReport, path, value string) {
	host, port, err := net.SplitHostPort(value)
	_, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || net.ParseIP(host) == nil {
		r.addf(path, "%q is not an address of the form IP:port", value)
	}
}

func checkOptionalAddress(r *faultReport, path, value string) {
	if value != "" {
		checkAddress(r, path, value)
	}
}

func checkURL(r *faultReport, path, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		r.addf(path, "%q is not an http or https URL", value)
	}
}

func checkChoice(r *faultReport, path, value string, choices ...string) {
	for _, choice := range choices {
		if value == choice {
			return
		}
	}
	r.addf(path, "%q is not one of %q", value, choices[1:])
}

// minSecretBytes is the smallest length of the resume secret, so that it cannot be
// guessed.
const minSecretBytes = 32

// Identity loads the certificate and key of the router and the certificate of the
// authority. Its error is ErrKeys.
func (s *Settings) Identity() (peer.Identity, error) {
	chain, err := os.ReadFile(s.TLS.CertFile)
	if err != nil {
		return peer.Identity{}, eris.Wrap(ErrKeys, err.Error())
	}
	key, err := os.ReadFile(s.TLS.KeyFile)
	if err != nil {
		return peer.Identity{}, eris.Wrap(ErrKeys, err.Error())
	}
	certificate, err := tls.X509KeyPair(chain, key)
	if err != nil {
		return peer.Identity{}, eris.Wrapf(ErrKeys, "%s with %s: %v", s.TLS.CertFile, s.TLS.KeyFile, err)
	}
	authority, err := os.ReadFile(s.TLS.CAFile)
	if err != nil {
		return peer.Identity{}, eris.Wrap(ErrKeys, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return peer.Identity{}, eris.Wrapf(ErrKeys, "%s contains no PEM certificate", s.TLS.CAFile)
	}
	if err := certificate.Leaf.VerifyHostname(s.Host); err != nil {
		return peer.Identity{}, eris.Wrapf(ErrKeys, "%s: %v", s.TLS.CertFile, err)
	}
	return peer.Identity{Certificate: certificate, Authority: pool}, nil
}

// ResumeSecret loads the secret for resume tokens. Its error is ErrKeys.
func (s *Settings) ResumeSecret() ([]byte, error) {
	secret, err := os.ReadFile(s.ResumeSecretFile)
	if err != nil {
		return nil, eris.Wrap(ErrKeys, err.Error())
	}
	if len(secret) < minSecretBytes {
		return nil, eris.Wrapf(ErrKeys, "%s has fewer than the required %d bytes", s.ResumeSecretFile, minSecretBytes)
	}
	return secret, nil
}
