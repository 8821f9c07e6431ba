package gateway

import (
	"mime"
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

// isEventStream reports whether the body of a response consists of server-sent events.
// A response that states no content type on a route for streams does.
func isEventStream(response *http.Response) bool {
	contentType := response.Header.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	// A content type that cannot be parsed says nothing, as if it were missing.
	return err != nil || mediaType == "text/event-stream"
}
