package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Equivalent paths must select the same route, and an encoded slash must not separate
// segments.
func TestRouteIsSelectedByTheEncodedPath(t *testing.T) {
	routes := []*Route{
		{Name: "book", Host: "h", Prefix: CanonicalPath("/book/")},
		{Name: "status", Host: "h", Prefix: CanonicalPath("/book/status/")},
		{Name: "encoded", Host: "h", Prefix: CanonicalPath("/book/a%2fb/")},
		{Name: "accent", Host: "h", Prefix: CanonicalPath("/caf\u00e9/")},
		{Name: "percent", Host: "h", Prefix: CanonicalPath("/100%/")},
	}
	table := NewTable(1, routes, nil, nil, Limits{}, false)
	for path, expected := range map[string]string{
		"/book/x":            "book",
		"/book/status/x":     "status",
		"/book/%73tatus/x":   "status",
		"/book/status%2Fx":   "book",
		"/book/status%2fx/":  "book",
		"/book/status%252Fx": "book",
		"/book/a%2Fb/x":      "encoded",
		"/book/a/b/x":        "book",
		"/book/a%252Fb/x":    "book",
		"/caf%C3%A9/x":       "accent",
		"/100%25/x":          "percent",
	} {
		if route := table.Match("h", path); assert.NotNil(t, route, path) {
			assert.Equal(t, expected, route.Name, path)
		}
	}
	assert.Nil(t, table.Match("h", "/book%2Fx"))
}
