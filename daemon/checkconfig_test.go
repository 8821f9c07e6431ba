package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fake/site"
)

// A configuration with a route that nobody can be served on must fail the check, also if
// that shows only from the data centres of the deployment.
func TestCheckOfConfiguration(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	settings := write("router.yaml", site.Router{Name: "r", IP: "127.0.0.1", Seed: "127.0.0.1", Store: "127.0.0.1:1", Zone: "a", Zones: map[string]string{"a": "eu"}}.Settings())
	config := func(ofRoute, ofWorkspace string) string {
		return write("config.json", `{"version": 1, "routes": [{"name": "r", "host": "h", "allowed_regions": `+ofRoute+`}],
			"tenants": [{"name": "w", "api_keys": ["k"], "allowed_regions": `+ofWorkspace+`}]}`)
	}
	valid, invalid := subcommands.ExitSuccess, subcommands.ExitFailure
	assert.Equal(t, valid, checkConfig(config(`["eu"]`, `["us", "eu"]`), settings))
	assert.Equal(t, invalid, checkConfig(config(`["eu"]`, `["us"]`), ""))
	assert.Equal(t, valid, checkConfig(config(`["us"]`, `[]`), ""))
	assert.Equal(t, invalid, checkConfig(config(`["us"]`, `[]`), settings))
	assert.Equal(t, invalid, checkConfig(write("broken.json", `{"version": 0}`), ""))
	assert.Equal(t, invalid, checkConfig(filepath.Join(folder, "missing"), ""))
	assert.Equal(t, invalid, checkConfig(config(`[]`, `[]`), filepath.Join(folder, "missing")))
}

// Each kind of fault names what has to be changed.
func TestRegionFaultsNameTheirCause(t *testing.T) {
	for want, fault := range map[string]catalog.RegionFault{
		`route "r": no data centre in its regions eu, us`:                        {Route: "r", Regions: []string{"eu", "us"}},
		`workspace "w": no data centre in its regions eu`:                        {Workspace: "w", Regions: []string{"eu"}},
		`route "r" and workspace "w" have no region in common`:                   {Route: "r", Workspace: "w", Regions: []string{}},
		`route "r" and workspace "w": no data centre in the common regions here`: {Route: "r", Workspace: "w", Regions: []string{"here"}},
	} {
		assert.Equal(t, want, describeRegionFault(fault))
	}
}
