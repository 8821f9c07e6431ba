package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/admin"
	"github.com/lacewingshift/lacewingshift/config"
)

// operatorTimeout is longer than the timeout of the administration API, which covers a
// change whose outcome must be read back.
const operatorTimeout = 20 * time.Second

// reply is a response of the administration API. Status 0 means that there is none.
type reply struct {
	status int
	etag   string
	text   string
}

// version returns the version in the ETag, or 0 if there is none.
func (r reply) version() int64 {
	version, _ := strconv.ParseInt(strings.Trim(r.etag, `"`), 10, 64)
	return version
}

func (f *fleet) operatorKey() string {
	key, err := os.ReadFile(f.file("operator.key"))
	require.NoError(f.t, err)
	return strings.TrimSpace(string(key))
}

// adminRequest sends a request to the administration API of a router. A base above zero
// is sent in the header If-Match.
func (f *fleet) adminRequest(key, method, id, path, body string, base int64) reply {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.router(id).Admin+path, strings.NewReader(body))
	if err != nil {
		return reply{text: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if base > 0 {
		request.Header.Set("If-Match", fmt.Sprintf(`"%d"`, base))
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{text: err.Error()}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{text: err.Error()}
	}
	return reply{status: answer.StatusCode, etag: answer.Header.Get("ETag"), text: string(text)}
}

// lists returns the lists and their version, as read through a router.
func (f *fleet) lists(key, id string) (config.Lists, int64) {
	answer := f.adminRequest(key, "GET", id, "/v1/config", "", 0)
	require.Equal(f.t, http.StatusOK, answer.status, answer.text)
	lists, err := config.Parse([]byte(answer.text))
	require.NoError(f.t, err)
	return lists, answer.version()
}

// configStatus returns the versions in force, as read through a router. It reports false
// if the router does not answer.
func (f *fleet) configStatus(key, id string) (admin.ConfigStatus, bool) {
	var status admin.ConfigStatus
	answer := f.adminRequest(key, "GET", id, "/v1/config/status", "", 0)
	ok := answer.status == http.StatusOK && json.Unmarshal([]byte(answer.text), &status) == nil
	return status, ok
}

// agrees reports whether all routers have the same version in force and it is at least
// minVersion.
func (f *fleet) agrees(status admin.ConfigStatus, minVersion int64) bool {
	return status.Live == len(f.deploy.Routers) && len(status.Versions) == 1 &&
		status.Versions[0].Routers == status.Live && status.Highest >= minVersion
}
