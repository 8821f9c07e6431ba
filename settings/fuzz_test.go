package settings

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse guards against a settings file that makes the router panic at its start,
// or that is rejected without the place of a fault.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(validSettings[:100]))
	f.Add([]byte(faultySettings))
	for _, text := range []string{"", "{}", "[]", "null", "{}{}", "{\n\"operators\": [{}, 1]}", `{"listen": 4, "tls": null, "listen": {}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			require.NotEmpty(t, s.Host)
			require.NotEmpty(t, s.Advertise.Peer)
			return
		}
		var invalid *InvalidError
		require.True(t, errors.As(err, &invalid))
		require.NotEmpty(t, invalid.Faults)
		lines := bytes.Count(data, []byte("\n")) + 1
		for _, fault := range invalid.Faults {
			require.NotEmpty(t, fault.Message)
			require.True(t, fault.Path != "" || fault.Line > 0, "%+v has no place", fault)
			require.LessOrEqual(t, fault.Line, lines)
		}
	})
}
