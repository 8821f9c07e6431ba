package site

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// get reads a path of the store and returns the status and the era of the answer.
func (s *Store) get(t *testing.T, path string) (status int, era string) {
	t.Helper()
	response, err := http.Get("http://" + s.Address() + "/v1/objects/" + path)
	require.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Store-Era")
}

// A store that comes back with anything written since the copy, or with its old revision,
// would hide the faults that tests of restores look for.
func TestRestoreGoesBackToTheCopy(t *testing.T) {
	s, err := NewStore("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(s.Close)
	kept := s.Put("things", "kept", 1)
	_, era := s.get(t, "things")
	assert.Empty(t, era)
	s.UseEras(3)
	c := s.TakeCopy()
	lost := s.Put("things", "lost", 1)
	s.Put("things", "kept", 2)
	s.Restore(c)
	assert.Equal(t, []string{"kept"}, s.Names("things"))
	for path, want := range map[string]int{
		fmt.Sprintf("things?watch=%d&wait_ms=1", lost): http.StatusGone,
		fmt.Sprintf("things?watch=%d&wait_ms=1", kept): http.StatusOK,
		"things":      http.StatusOK,
		"things/lost": http.StatusNotFound,
	} {
		status, era := s.get(t, path)
		assert.Equal(t, want, status, path)
		assert.Equal(t, "4", era, path)
	}
	assert.Equal(t, lost, s.Put("things", "other", 1), "revisions are issued again")
	s.Restore(c)
	assert.Equal(t, []string{"kept"}, s.Names("things"), "a copy may be used twice")
}
