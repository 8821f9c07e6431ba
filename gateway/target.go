package gateway

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"
)

// errTarget reports a request target that cannot be sent on unchanged.
var errTarget = eris.New("path has characters that must be percent-encoded")

// target returns the request target as the caller sent it.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// upstreamURL returns a URL without a host that package net/http sends as the given
// target. Errors: errTarget.
func upstreamURL(target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Opaque: target}, nil
	}
	// Package net/url takes two slashes at the begin of an opaque target for a host.
	encoded, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(encoded)
	if err != nil {
		return nil, eris.Wrap(errTarget, err.Error())
	}
	u := &url.URL{Scheme: "http", Path: path, RawPath: encoded, RawQuery: query, ForceQuery: hasQuery}
	if u.RequestURI() != target {
		return nil, errTarget
	}
	return u, nil
}
