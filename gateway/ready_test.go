package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/platform"
	"github.com/lacewingshift/lacewingshift/shutdown"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// A router must not say that it is ready before placement has its upstreams. It
// refused requests in between with "no upstream".
func TestNotReadyBeforePlacementHasUpstreams(t *testing.T) {
	g := &Gateway{
		config: versioned.NewLatest[platform.Config](), upstreams: versioned.NewLatest[*versioned.Roster](),
		machine: shutdown.New(shutdown.Timing{}), handler: &Handler{},
	}
	now := time.Now()
	table := catalog.NewTable(1, nil, nil, nil, catalog.Limits{}, false)
	g.config.Update(platform.Config{Table: table}, 1, versioned.Store, now)
	g.upstreams.Update(versioned.NewRoster(nil), 1, versioned.Store, now)
	assert.False(t, g.ready(), "nothing has been passed to placement")
	g.configured.Store(true)
	assert.True(t, g.ready())
}
