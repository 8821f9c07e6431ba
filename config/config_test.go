package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/dispatch"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func sample() Lists {
	return Lists{
		Workspaces: []Workspace{
			{Name: "archive", Plan: "small", KeysSHA256: []string{hashOf("a"), hashOf("b")}},
			{Name: "desk", Plan: "large", KeysSHA256: []string{hashOf("c")}},
		},
		Plans: []Plan{
			{Name: "small", Weight: 1, Uses: []Use{{Service: "plate-scribe", MaxRunning: 2, MaxQueued: 10}}},
			{Name: "large", Weight: 2.5, Uses: []Use{{Service: "plate-scribe"}, {Service: "order-desk", MaxDeadlineMS: 1000}}},
		},
	}
}

// TestParseReportsEveryFault checks that Parse reports all faults with their paths
// and lines.
func TestParseReportsEveryFault(t *testing.T) {
	data := `{
  "workspaces": [
    {"name": "a", "plan": "gold", "keys_sha256": ["zz"]},
    {"name": "a", "plan": "basic",
     "keys_sha256": ["` + hashOf("k") + `",
       "` + strings.ToUpper(hashOf("k")) + `"]}
  ],
  "plans": [
    {"name": "basic", "weight": 0, "uses": [
      {"service": "s", "max_running": -1},
      {"service": "s", "max_queued": -2, "max_body_bytes": -3, "max_deadline_ms": -4}
    ]},
    {"name": "Not A Name", "weight": 1, "uses": []}
  ]
}`
	_, err := Parse([]byte(data))
	require.ErrorIs(t, err, ErrInvalid)
	require.Equal(t, []string{
		`plans[0].weight (line 9): 0 is not above zero`,
		`plans[0].uses[0].max_running (line 10): -1 is below zero`,
		`plans[0].uses[1].service (line 11): "s" is already used at plans[0].uses[0].service`,
		`plans[0].uses[1].max_queued (line 11): -2 is below zero`,
		`plans[0].uses[1].max_body_bytes (line 11): -3 is below zero`,
		`plans[0].uses[1].max_deadline_ms (line 11): -4 is below zero`,
		`plans[1].name (line 13): "Not A Name" is not a name of 1 to 63 of a-z, 0-9, '.', '_' and '-'`,
		`workspaces[0].plan (line 3): no plan named "gold"`,
		`workspaces[0].keys_sha256[0] (line 3): not a SHA-256 hash of 64 hexadecimal digits`,
		`workspaces[1].name (line 4): "a" is already used at workspaces[0].name`,
		`workspaces[1].keys_sha256[1] (line 6): the same key is already given at workspaces[1].keys_sha256[0]`,
	}, strings.Split(err.Error(), "\n"))
}

// TestParseIsStrict checks that Parse rejects documents with syntax errors, unknown
// or repeated fields, or values of a wrong type.
func TestParseIsStrict(t *testing.T) {
	for data, want := range map[string]string{
		``:                               `document (line 1): the document ends too early`,
		`[]`:                             `document (line 1): must be an object`,
		`null`:                           `document (line 1): must be an object`,
		`{} {}`:                          `document (line 1): there is more after the end of the document`,
		"{\n\"extra\": [1, {}]}":         `extra (line 2): unknown field`,
		`{"Plans": []}`:                  `Plans (line 1): unknown field`,
		`{"plans": [], "plans": []}`:     `plans (line 1): field is given twice`,
		`{"plans": null}`:                `plans (line 1): must be a list`,
		`{"plans": [{"name": 3}]}`:       `plans[0].name (line 1): must be a string`,
		`{"plans": [{"weight": 1e999}]}`: `plans[0].weight (line 1): 1e999 is not a number in range`,
		`{"plans": [{"uses": [{"max_running": 1.5}]}]}`:     `plans[0].uses[0].max_running (line 1): 1.5 is not a whole number in range`,
		`{"plans": [{"uses": {"service": []}}]}`:            `plans[0].uses (line 1): must be a list`,
		`{"changes": [{"time": "yesterday"}], "plans": [}]`: `changes[0].time`,
	} {
		_, err := Parse([]byte(data))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, data)
		require.Contains(t, invalid.Error(), want, data)
	}
}

// TestEncodeAndParse checks that lists are unchanged after encoding and parsing.
func TestEncodeAndParse(t *testing.T) {
	for _, lists := range []Lists{{}, sample()} {
		parsed, err := Parse(lists.Encode())
		require.NoError(t, err)
		require.Equal(t, lists.Digest(), parsed.Digest())
		parsed, err = Parse(lists.Indented())
		require.NoError(t, err)
		require.Equal(t, lists.Digest(), parsed.Digest())
	}
}

// TestLookup checks that each key finds its workspace, also if its hash is stored
// in upper case, and that unknown keys find none.
func TestLookup(t *testing.T) {
	data := strings.Replace(string(sample().Encode()), hashOf("b"), strings.ToUpper(hashOf("b")), 1)
	lists, err := Parse([]byte(data))
	require.NoError(t, err)
	for key, want := range map[string]string{"a": "archive", "b": "archive", "c": "desk", "": "", "d": ""} {
		workspace, plan, ok := lists.Lookup(key)
		require.Equal(t, want != "", ok)
		require.Equal(t, want, workspace.Name)
		require.Equal(t, workspace.Plan, plan.Name)
	}
}

// TestLimits checks that the scheduler gets the weights and limits of the plans.
func TestLimits(t *testing.T) {
	require.Equal(t, map[string]map[string]dispatch.Limits{
		"plate-scribe": {
			"archive": {Weight: 1, MaxRunning: 2, MaxQueued: 10},
			"desk":    {Weight: 2.5},
		},
		"order-desk": {"desk": {Weight: 2.5}},
	}, sample().Limits())
}

// FuzzParse guards against input that makes Parse panic or loop, and against lists
// that Parse accepts but rejects after they are encoded again.
func FuzzParse(f *testing.F) {
	f.Add(sample().Encode())
	f.Add(sample().Indented())
	f.Add([]byte(`{"plans":[{"name":"a","weight":1e-400,"uses":[]}],"changes":[{"version":1,"time":"2026-01-01T00:00:00Z"}]}`))
	f.Add([]byte(`{"workspaces":[{"x":{"y":[{}]}}]`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		lists, err := Parse(data)
		if err != nil {
			var invalid *InvalidError
			require.True(t, errors.As(err, &invalid))
			require.NotEmpty(t, invalid.Faults)
			return
		}
		again, err := Parse(lists.Encode())
		require.NoError(t, err)
		require.Equal(t, lists.Encode(), again.Encode())
	})
}

// BenchmarkLookup measures the lookup of a key among 1400 workspaces with two keys each.
func BenchmarkLookup(b *testing.B) {
	var lists Lists
	for i := range 1400 {
		lists.Workspaces = append(lists.Workspaces, Workspace{
			Name: fmt.Sprint(i), KeysSHA256: []string{hashOf(fmt.Sprint("k", i)), hashOf(fmt.Sprint("l", i))},
		})
	}
	for b.Loop() {
		lists.Lookup("k700")
	}
}
