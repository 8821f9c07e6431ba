package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/config"
)

// callTimeout is longer than the timeout of the administration API, so that the API's
// own timeout error is received.
const callTimeout = 20 * time.Second

// request is a request to the administration API.
type request struct {
	method, path string
	body         []byte
	header       map[string]string
}

// answer is a successful response of the administration API.
type answer struct {
	body []byte
	etag string
}

// remoteError is the body of an error response.
type remoteError struct {
	Error struct {
		Code    string         `json:"code"`
		Message string         `json:"message"`
		Faults  []config.Fault `json:"faults"`
	} `json:"error"`
}

// addresses returns the addresses in the flag -admin.
func (e *env) addresses() []string {
	var addresses []string
	for address := range strings.SplitSeq(e.admin, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// call sends a request to the addresses in turn until one is reachable.
func (e *env) call(ctx context.Context, r request) (answer, error) {
	if len(e.addresses()) == 0 {
		return answer{}, usagef("the flag -admin contains no address")
	}
	var err error
	for _, address := range e.addresses() {
		var a answer
		a, err = e.callAddress(ctx, address, r)
		var exit *exitError
		if err == nil || !errors.As(err, &exit) || exit.code != exitUnreachable {
			return a, err
		}
	}
	return answer{}, err
}

func (e *env) callAddress(ctx context.Context, address string, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := e.newRequest(ctx, address, r)
	if err != nil {
		return answer{}, err
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, transportError(address, r, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, transportError(address, r, err)
	}
	if response.StatusCode >= 300 {
		return answer{}, responseError(response.Status, body)
	}
	return answer{body, response.Header.Get("ETag")}, nil
}

func (e *env) newRequest(ctx context.Context, address string, r request) (*http.Request, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, r.method, address+r.path, strings.NewReader(string(r.body)))
	if err != nil {
		return nil, usagef("%q is not a valid address", address)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	if e.keyFile == "" {
		return req, nil
	}
	key, err := os.ReadFile(e.keyFile)
	if err != nil {
		return nil, usagef("cannot read the operator key: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	return req, nil
}

// transportError returns the error for a request without a response. It has the code
// exitUnreachable, with which call tries the next address, unless the request may have
// taken effect.
func transportError(address string, r request, err error) error {
	var op *net.OpError
	dialed := !errors.As(err, &op) || op.Op != "dial"
	if dialed && r.method != http.MethodGet {
		return failuref("%s did not answer, and the request may have taken effect: %v", address, err)
	}
	return &exitError{exitUnreachable, fmt.Sprintf("%s is not reachable: %v", address, err)}
}

// responseError converts an error response of the API.
func responseError(status string, body []byte) error {
	var remote remoteError
	if json.Unmarshal(body, &remote) != nil || remote.Error.Message == "" {
		return failuref("the router answered %s", status)
	}
	return failuref("%s%s", remote.Error.Message, faultLines(remote.Error.Faults))
}

// faultLines returns the faults, each on a new indented line.
func faultLines(faults []config.Fault) string {
	var lines strings.Builder
	for _, fault := range faults {
		lines.WriteString("\n  " + fault.String())
	}
	return lines.String()
}
