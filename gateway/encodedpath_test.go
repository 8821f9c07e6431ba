package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

// An encoded slash is part of a segment: a request with one in its path must not be taken
// for one of another route, whose requests may be repeated, and run twice.
func TestEncodedSlashDoesNotSelectAnotherRoute(t *testing.T) {
	s := newSite(t, 0, 2)
	config := site.Config(2)
	routes := config["routes"].([]any)
	idempotent := map[string]any{}
	for name, value := range routes[3].(map[string]any) {
		idempotent[name] = value
	}
	require.Equal(t, "idempotent", idempotent["kind"])
	idempotent["name"], idempotent["path_prefix"] = "order-status", site.OrderPath+"status/"
	config["routes"] = append(routes, idempotent)
	s.store.Put("config", "main", config)
	for _, p := range s.plainRunners {
		p.SetBehaviour(site.Truncating)
	}
	r := s.start(true)
	for _, c := range []struct {
		path string
		runs int
	}{{"status%2F1", 1}, {"status%2f1", 1}, {"status/1", 2}, {"%73tatus/1", 2}} {
		q := request{path: site.OrderPath + c.path, id: newID()}
		got := r.ask(q)
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusBadGateway, got.status, c.path)
		assert.Equal(t, c.runs, s.runs(q.id), c.path)
	}
}
