package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/config/strictjson"
	"github.com/lacewingshift/lacewingshift/objectapi"
)

// ErrInvalid matches every *InvalidError in errors.Is.
var ErrInvalid = eris.New("lists are not valid")

// Fault is one error in the lists.
type Fault = strictjson.Fault

// InvalidError lists all faults in the lists.
type InvalidError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// Names appear in log lines, metrics and paths, so namePattern allows only
// characters that need no quoting there.
var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// Parse decodes and validates the lists. Its error is an *InvalidError.
func Parse(data []byte) (Lists, error) {
	if len(data) > objectapi.MaxValueBytes {
		return Lists{}, &InvalidError{[]Fault{{Line: 1, Message: tooLargeMessage(len(data))}}}
	}
	var lists Lists
	lines, faults := strictjson.Decode(data, &lists)
	if len(faults) > 0 {
		return Lists{}, &InvalidError{faults}
	}
	c := &checker{lines: lines}
	c.lists(lists)
	if len(c.faults) > 0 {
		return Lists{}, &InvalidError{c.faults}
	}
	lists.normalizeHashes()
	return lists, nil
}

// Validate checks lists that were not read by Parse. The line numbers of its
// faults refer to the indented JSON form. Its error is an *InvalidError.
func (l Lists) Validate() error {
	data := l.Indented()
	_, err := Parse(data)
	return err
}

func tooLargeMessage(size int) string {
	return fmt.Sprintf("%d bytes are more than the %d that the object API stores", size, objectapi.MaxValueBytes)
}

// normalizeHashes converts the hashes to lower case, so that they can be compared
// byte by byte.
func (l *Lists) normalizeHashes() {
	for i := range l.Workspaces {
		for j, hash := range l.Workspaces[i].KeysSHA256 {
			l.Workspaces[i].KeysSHA256[j] = strings.ToLower(hash)
		}
	}
}

// checker validates lists and collects their faults.
type checker struct {
	lines  strictjson.Lines
	faults []Fault
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Line: c.lines.Line(path), Message: fmt.Sprintf(format, args...)})
}

func (c *checker) lists(l Lists) {
	plans := c.plans(l.Plans)
	c.workspaces(l.Workspaces, plans)
}

// name checks that a name is well-formed and unique. The names found so far are in
// seen, with their paths.
func (c *checker) name(path, name string, seen map[string]string) {
	if !namePattern.MatchString(name) {
		c.addFault(path, "%q is not a name of 1 to 63 of a-z, 0-9, '.', '_' and '-'", name)
		return
	}
	if first, dup := seen[name]; dup {
		c.addFault(path, "%q is already used at %s", name, first)
		return
	}
	seen[name] = path
}

// plans checks the plans and returns the paths of their names.
func (c *checker) plans(plans []Plan) map[string]string {
	seen := map[string]string{}
	for i, plan := range plans {
		path := fmt.Sprintf("plans[%d]", i)
		c.name(path+".name", plan.Name, seen)
		if plan.Weight <= 0 || math.IsInf(plan.Weight, 0) {
			c.addFault(path+".weight", "%v is not above zero", plan.Weight)
		}
		c.uses(path, plan.Uses)
	}
	return seen
}

func (c *checker) uses(path string, uses []Use) {
	seen := map[string]string{}
	for i, use := range uses {
		usePath := fmt.Sprintf("%s.uses[%d]", path, i)
		c.name(usePath+".service", use.Service, seen)
		c.limit(usePath+".max_running", int64(use.MaxRunning))
		c.limit(usePath+".max_queued", int64(use.MaxQueued))
		c.limit(usePath+".max_body_bytes", int64(use.MaxBodyBytes))
		c.limit(usePath+".max_deadline_ms", use.MaxDeadlineMS)
	}
}

func (c *checker) limit(path string, value int64) {
	if value < 0 {
		c.addFault(path, "%d is below zero", value)
	}
}

func (c *checker) workspaces(workspaces []Workspace, plans map[string]string) {
	names, keys := map[string]string{}, map[string]string{}
	for i, workspace := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(path+".name", workspace.Name, names)
		if _, ok := plans[workspace.Plan]; !ok {
			c.addFault(path+".plan", "no plan named %q", workspace.Plan)
		}
		for j, hash := range workspace.KeysSHA256 {
			c.key(fmt.Sprintf("%s.keys_sha256[%d]", path, j), hash, keys)
		}
	}
}

// key checks that the hash of a key is well-formed and unique, because a key must
// identify one workspace.
func (c *checker) key(path, hash string, seen map[string]string) {
	if !hashPattern.MatchString(hash) {
		c.addFault(path, "not a SHA-256 hash of 64 hexadecimal digits")
		return
	}
	hash = strings.ToLower(hash)
	if first, dup := seen[hash]; dup {
		c.addFault(path, "the same key is already given at %s", first)
		return
	}
	seen[hash] = path
}

// Indented returns the JSON form for operators, with one value per line.
func (l Lists) Indented() []byte {
	var out bytes.Buffer
	if err := json.Indent(&out, l.encode(), "", "  "); err != nil {
		return nil
	}
	out.WriteByte('\n')
	return out.Bytes()
}
