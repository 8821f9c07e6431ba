package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Where a stream breaks off must be recognised with every line ending, however the
// bytes arrive.
func TestEndInsideAnEventIsRecognised(t *testing.T) {
	for name, c := range map[string]struct {
		stream, whole string
		inside        bool
	}{
		"whole events":         {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		"nothing":              {"", "", false},
		"inside a field":       {"id: 1\n\nid: 2\nda", "id: 1\n\n", true},
		"after a field":        {"id: 1\n\nid: 2\n", "id: 1\n\n", true},
		"before the last line": {"id: 1\n\nid: 2\ndata: b", "id: 1\n\n", true},
		"comment after":        {"id: 1\n\n: bye\n", "id: 1\n\n", false},
		"inside a comment":     {"id: 1\n\n: by", "id: 1\n\n", true},
		"empty lines after":    {"id: 1\n\n\n\n", "id: 1\n\n\n\n", false},
	} {
		for _, lineEnd := range lineEnds {
			t.Run(name, func(t *testing.T) {
				stream, expected := strings.ReplaceAll(c.stream, "\n", lineEnd), strings.ReplaceAll(c.whole, "\n", lineEnd)
				rapid.Check(t, func(t *rapid.T) {
					var b eventBuffer
					var whole string
					for rest := stream; rest != ""; {
						n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
						whole += string(b.add([]byte(rest[:n])))
						rest = rest[n:]
					}
					assert.Equal(t, expected, whole)
					assert.Equal(t, stream, whole+string(b.pending))
					assert.Equal(t, c.inside, b.insideEvent())
				})
			})
		}
	}
}
