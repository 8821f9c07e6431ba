package deployment

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/objectapi"
	"github.com/lacewingshift/lacewingshift/settings"
)

// The files of a deployment must be consistent: addresses are unique, router
// certificates are valid for the CA, and each key belongs to a workspace.
func TestWrite(t *testing.T) {
	for _, name := range []string{"piedmont", "solas"} {
		dir := t.TempDir()
		plan, err := FindPlan(name, Options{})
		require.NoError(t, err)
		require.NoError(t, plan.Write(dir))

		var hosts []objectapi.Host
		read(t, dir, "hosts.json", &hosts)
		require.Len(t, hosts, 8+12+3)
		addresses := map[string]bool{}
		for _, host := range hosts {
			require.False(t, addresses[host.Address], "address %s is used twice", host.Address)
			addresses[host.Address] = true
			if host.Kind == objectapi.HostRouter {
				checkRouter(t, dir, host)
			}
		}
		checkLists(t, dir)
	}
	_, err := FindPlan("elsewhere", Options{})
	require.True(t, eris.Is(err, ErrUnknownName))
}

func checkRouter(t *testing.T, dir string, host objectapi.Host) {
	t.Helper()
	var settings settings.Settings
	read(t, dir, "router-"+host.ID+".json", &settings)
	require.Equal(t, host.PeerAddress, settings.Advertise.Peer)
	pair, err := tls.LoadX509KeyPair(settings.TLS.CertFile, settings.TLS.KeyFile)
	require.NoError(t, err)
	ca, err := os.ReadFile(settings.TLS.CAFile)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(ca))
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	_, err = pair.Leaf.Verify(x509.VerifyOptions{DNSName: host.ID, Roots: roots, KeyUsages: usages})
	require.NoError(t, err)
}

func checkLists(t *testing.T, dir string) {
	t.Helper()
	var lists Lists
	var description Description
	read(t, dir, "lists.json", &lists)
	read(t, dir, "load.json", &description)
	require.Len(t, lists.Plans, 3)
	require.Len(t, lists.Workspaces, 16)
	for i, key := range description.Keys {
		require.Equal(t, lists.Workspaces[i].KeysSHA256, []string{hashKey(key.Key)})
		require.Contains(t, description.Regions, key.Region)
	}
}

func read(t *testing.T, dir, name string, value any) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, name))
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, value))
}
