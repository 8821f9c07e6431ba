package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// lineEnds are the line endings of a stream of server-sent events.
var lineEnds = []string{"\n", "\r\n", "\r"}

// What another upstream sends after a stream broke off must reach the caller only if it is
// the rest of the stream, with every line ending.
func TestOnlyTheRestContinuesAStream(t *testing.T) {
	numbered := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		sent, next string
		continues  bool
	}{
		{"", "id: 7\ndata: a\n\n", true},
		{": comment\n\n", "data: a\n\n", true},
		{numbered, "id: 3\ndata: c\n\n", true},
		{numbered, "id:3\ndata: c\n\n", true},
		{": comment\n" + numbered, "id: 1\ndata: a\n\n", false},
		{": comment\n" + numbered, "id: 3\ndata: c\n\n", true},
		{numbered, ": comment\n\n", true}, // says nothing yet
		{numbered, ": comment\n\nid: 3\ndata: c\n\n", true},
		{numbered, "weight-versions: 2\nid: 3\ndata: c\n\n", true},
		{numbered, ": comment\n\nid: 2\ndata: b\n\n", false},
		{numbered, "id: 2\ndata: b\n\n", false},
		{numbered, "id: 4\ndata: d\n\n", false},
		{numbered, "data: internal error\n\n", false},
		{numbered, "id: x\ndata: c\n\n", false},
		{"id: 2\ndata: a\n\nid: 4\ndata: b\n\n", "id: 6\ndata: c\n\n", true}, // not consecutive before
		{"id: a\ndata: a\n\n", "id: b\ndata: b\n\n", true},
		{"id: a\ndata: a\n\n", "id: a\ndata: a\n\n", false},
		{"id: a\ndata: a\n\n", "data: b\n\n", false},
	} {
		for _, sentEnd := range lineEnds {
			var out callerResponse
			sent := strings.ReplaceAll(c.sent, "\n", sentEnd)
			out.recordEvents([]byte(sent))
			for _, nextEnd := range lineEnds {
				next := strings.ReplaceAll(c.next, "\n", nextEnd)
				assert.Equal(t, c.continues, out.continuesWith([]byte(next)), "%q after %q", next, sent)
			}
		}
	}
}

// A document, or events without ids or with ids that no request can name, must not be
// followed by another upstream's answer.
func TestAnswerWithoutIDsIsNotContinued(t *testing.T) {
	for sent, continues := range map[string]bool{
		"":                                   true,
		": comment\n\n":                      true,
		"id: 1\ndata: a\n\n":                 true,
		"event: e\nid: 1\ndata: a\n\n":       true,
		"data: hello\n\nid: 1\ndata: a\n\n":  true,
		"data: a\n\n":                        false,
		"id: \x01\ndata: a\n\n":              false,
		"id: a\x00b\ndata: a\n\n":            false,
		"id: 1\ndata: a\n\nid:\ndata: b\n\n": false,
		"id: \x01\n\nid: 2\ndata: a\n\n":     true,
		": comment\n\nevent: e\ndata: a\n\n": false,
		"{\"text\": \"a document\"}\n\n":     false,
	} {
		for _, lineEnd := range lineEnds {
			var out callerResponse
			sent := strings.ReplaceAll(sent, "\n", lineEnd)
			out.recordEvents([]byte(sent))
			assert.Equal(t, continues, out.canContinue(), "after %q", sent)
		}
	}
}
