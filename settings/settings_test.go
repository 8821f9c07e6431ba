package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/config/strictjson"
)

const validSettings = `{
  "host": "up-r1",
  "region": "upstate",
  "data_centre": "up-a",
  "listen": {
    "caller": "127.0.0.1:8080",
    "admin": "127.0.0.1:8081",
    "peer": "127.0.0.1:8082"
  },
  "platform": {"objects_url": "http://127.0.0.1:9000", "hosts_url": "http://127.0.0.1:9001"},
  "tls": {"ca_file": "ca.pem", "cert_file": "r1.pem", "key_file": "r1.key"},
  "resume_secret_file": "secret"
}`

// faultySettings has an unknown field, a value of a wrong type and an address without
// a port.
var faultySettings = strings.NewReplacer(
	`"host": "up-r1"`, `"host": 7`,
	`"data_centre": "up-a"`, `"data_centre": "up-a", "colour": {"hue": 3}`,
	`"127.0.0.1:8081"`, `"127.0.0.1"`,
).Replace(validSettings)

func faults(t *testing.T, text string) []strictjson.Fault {
	t.Helper()
	_, err := Parse([]byte(text))
	var invalid *InvalidError
	require.True(t, errors.As(err, &invalid), "%v", err)
	return invalid.Faults
}

// linesByPath returns the lines of the faults by their paths.
func linesByPath(faults []strictjson.Fault) map[string]int {
	found := map[string]int{}
	for _, fault := range faults {
		found[fault.Path] = fault.Line
	}
	return found
}

// TestParseReportsExactlyTheFaults checks that Parse reports faults of different kinds
// together, and no fault of a correct field because another field could not be decoded.
func TestParseReportsExactlyTheFaults(t *testing.T) {
	_, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	found := faults(t, faultySettings)
	require.Equal(t, map[string]int{"host": 2, "colour": 4, "listen.admin": 7}, linesByPath(found))
	require.Len(t, found, 3)
	for _, fault := range found {
		if fault.Path == "listen.admin" {
			require.Contains(t, fault.Message, `"127.0.0.1"`)
		}
	}
}

// TestParseReportsNoFollowUpFaults checks that Parse reports no further fault for a
// value inside a faulty one or for one that encloses it.
func TestParseReportsNoFollowUpFaults(t *testing.T) {
	for text, want := range map[string]map[string]int{
		strings.Replace(validSettings, `"tls": {`, `"tls": [], "log": {`, 1):                                   {"tls": 11, "log.ca_file": 11, "log.cert_file": 11, "log.key_file": 11},
		strings.Replace(validSettings, `"region"`, `"operators": [{"name": 4}], "region"`, 1):                  {"operators[0].name": 3},
		strings.Replace(validSettings, `"resume_secret_file": "secret"`, `"resume_secret_file": "secret",`, 1): {"": 12},
		"[]": {"": 1},
	} {
		require.Equal(t, want, linesByPath(faults(t, text)), text)
	}
}

// TestParseChecksPorts guards against a wrong port that is detected only when the router
// starts to listen.
func TestParseChecksPorts(t *testing.T) {
	for _, address := range []string{"127.0.0.1:http", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", "localhost:80", "8080"} {
		text := strings.Replace(validSettings, "127.0.0.1:8082", address, 1)
		require.Equal(t, map[string]int{"listen.peer": 8}, linesByPath(faults(t, text)), address)
	}
}

// TestMissingFilesAreNamed checks that errors about missing or unusable files contain the
// name of the file.
func TestMissingFilesAreNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "none.json")
	_, err := Load(file)
	require.ErrorIs(t, err, ErrUnreadable)
	require.Contains(t, err.Error(), file)
	s := Settings{ResumeSecretFile: file, TLS: TLS{CertFile: file, KeyFile: file}}
	_, err = s.Identity()
	require.ErrorIs(t, err, ErrKeys)
	require.Contains(t, err.Error(), file)
	_, err = s.ResumeSecret()
	require.ErrorIs(t, err, ErrKeys)
	require.Contains(t, err.Error(), file)
	require.NoError(t, os.WriteFile(file, []byte("short"), 0o600))
	_, err = s.ResumeSecret()
	require.ErrorIs(t, err, ErrKeys)
	require.Contains(t, err.Error(), file)
}
