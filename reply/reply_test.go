package reply

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against gaps and repeats in the events that a reader gets.
func TestLogKeepsOrder(t *testing.T) {
	l := NewLog(3)
	require.NoError(t, l.Append(Event{ID: 4, Data: []byte("a")}))
	require.NoError(t, l.Append(Event{ID: 4, Data: []byte("late copy")}))
	require.ErrorIs(t, l.Append(Event{ID: 6}), ErrGap)
	require.NoError(t, l.Append(Event{ID: 5, Data: []byte("b")}))
	l.Close(nil, nil)
	page, err := l.Next(t.Context(), 4)
	require.NoError(t, err)
	require.Equal(t, []Event{{ID: 5, Data: []byte("b")}}, page.Events)
	require.True(t, page.Done)
	_, err = l.Next(t.Context(), 2)
	require.ErrorIs(t, err, ErrGap)
}

// Guards against a stream that looks complete although it failed.
func TestStreamEndsWithErrorEvent(t *testing.T) {
	l := NewLog(0)
	require.NoError(t, l.Append(Event{ID: 1, Data: []byte("{}")}))
	l.Close(nil, ErrGap)
	w := httptest.NewRecorder()
	err := Stream(t.Context(), w, l, 0, func(error) []byte { return []byte("failed") })
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: {}\n\nevent: error\ndata: failed\n\n", w.Body.String())
}

// Guards against a caller that reads the response of another workspace with a forged
// or altered resume token.
func TestResumeTokenCannotBeAltered(t *testing.T) {
	signer := NewSigner([]byte("one secret of the fleet"))
	token, err := signer.Sign(Resume{Request: "r1", Workspace: "w1"})
	require.NoError(t, err)
	verified, err := signer.Verify(token)
	require.NoError(t, err)
	require.Equal(t, "w1", verified.Workspace)
	for i := range token {
		altered := []byte(token)
		altered[i] ^= 1
		if _, err := signer.Verify(string(altered)); err == nil && string(altered) != token {
			reverified, _ := signer.Verify(string(altered))
			require.Equal(t, verified, reverified, "only unused bits of the encoding may differ")
		}
	}
	_, err = NewSigner([]byte("the secret of another fleet")).Verify(token)
	require.ErrorIs(t, err, ErrBadToken)
}
