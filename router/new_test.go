package router

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/deployment"
	"github.com/lacewingshift/lacewingshift/settings"
)

// routerSettings writes the files of a deployment and returns the settings of one of
// its routers, with listen addresses whose ports the system chooses.
func routerSettings(t *testing.T) settings.Settings {
	t.Helper()
	dir := t.TempDir()
	plan, err := deployment.FindPlan("piedmont", deployment.Options{})
	require.NoError(t, err)
	require.NoError(t, plan.Write(dir))
	files, err := filepath.Glob(filepath.Join(dir, "router-*.json"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	s, err := settings.Load(files[0])
	require.NoError(t, err)
	s.Listen = settings.Addresses{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	return s
}

// requireOneLine requires an error of the given kind whose message is a single line
// that contains name once.
func requireOneLine(t *testing.T, err, kind error, name string) {
	t.Helper()
	require.ErrorIs(t, err, kind)
	require.Equal(t, 1, strings.Count(err.Error(), name), err.Error())
	require.NotContains(t, err.Error(), "\n")
}

// TestNewNamesAddressInUse checks that the error for an address in use contains the
// address.
func TestNewNamesAddressInUse(t *testing.T) {
	s := routerSettings(t)
	logger := log.New(io.Discard)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer udp.Close()
	for _, change := range []func(*settings.Addresses) string{
		func(a *settings.Addresses) string { a.Caller = tcp.Addr().String(); return a.Caller },
		func(a *settings.Addresses) string { a.Admin = tcp.Addr().String(); return a.Admin },
		func(a *settings.Addresses) string { a.Peer = udp.LocalAddr().String(); return a.Peer },
	} {
		changed := s
		address := change(&changed.Listen)
		_, err := New(changed, logger)
		requireOneLine(t, err, ErrListen, address)
	}
}

// TestNewNamesMissingKeyFile checks that the error for a missing or invalid key file
// contains the name of the file.
func TestNewNamesMissingKeyFile(t *testing.T) {
	s := routerSettings(t)
	logger := log.New(io.Discard)
	missing := filepath.Join(t.TempDir(), "missing.pem")
	empty := filepath.Join(t.TempDir(), "empty.pem")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	for name, change := range map[string]func(*settings.Settings, string){
		"certificate": func(s *settings.Settings, file string) { s.TLS.CertFile = file },
		"key":         func(s *settings.Settings, file string) { s.TLS.KeyFile = file },
		"authority":   func(s *settings.Settings, file string) { s.TLS.CAFile = file },
		"secret":      func(s *settings.Settings, file string) { s.ResumeSecretFile = file },
	} {
		for _, file := range []string{missing, empty} {
			t.Run(name+" "+filepath.Base(file), func(t *testing.T) {
				changed := s
				change(&changed, file)
				_, err := New(changed, logger)
				requireOneLine(t, err, ErrKeys, file)
			})
		}
	}
}
