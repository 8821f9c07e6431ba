package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOnlyTheRestContinuesAStream(t *testing.T) {
	numbered := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		sent, next string
		continues  bool
	}{
		{"", "id: 7\ndata: a\n\n", true},
		{": comment\n\n", "data: a\n\n", true},
		{numbered, "id: 3\ndata: c\n\n", true},
		{numbered, "id:3\r\ndata: c\r\n\r\n", true},
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
		var out callerResponse
		out.recordEvents([]byte(c.sent))
		assert.Equal(t, c.continues, out.continuesWith([]byte(c.next)), "%q after %q", c.next, c.sent)
	}
}

// A document, or events without ids, must not be followed by another upstream's answer.
func TestAnswerWithoutIDsIsNotContinued(t *testing.T) {
	for sent, continues := range map[string]bool{
		"":                                   true,
		": comment\n\n":                      true,
		"id: 1\ndata: a\n\n":                 true,
		"event: e\nid: 1\ndata: a\n\n":       true,
		"data: hello\n\nid: 1\ndata: a\n\n":  true,
		"data: a\n\n":                        false,
		": comment\n\nevent: e\ndata: a\n\n": false,
		"{\"text\": \"a document\"}\r\n\r\n": false,
	} {
		var out callerResponse
		out.recordEvents([]byte(sent))
		assert.Equal(t, continues, out.canContinue(), "after %q", sent)
	}
}
