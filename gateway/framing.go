package gateway

import (
	"net/http"
	"slices"
)

// framing is how an upstream's response shows where its body ends.
type framing string

// Framings of responses.
const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection" // the body ends with the connection
)

// framingOf returns the framing of a response.
func framingOf(response *http.Response) framing {
	switch {
	case response.ContentLength >= 0:
		return framedByLength
	case slices.Contains(response.TransferEncoding, "chunked"):
		return framedByChunks
	default:
		return framedByConnection
	}
}
