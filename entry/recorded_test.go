package entry

import (
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/lacewingshift/lacewingshift/intent"
)

// TestAnswerWithoutRunReportsNotRun checks that not_run is set exactly if the
// call certainly did not run, for each error of creating its record.
func TestAnswerWithoutRunReportsNotRun(t *testing.T) {
	cases := []struct {
		err    error
		code   Code
		notRun bool
	}{
		{intent.ErrRunning, CodeRunning, false},
		{intent.ErrOutcomeUnknown, CodeOutcomeUnknown, false},
		{intent.ErrKeyReused, CodeKeyReused, true},
		{intent.ErrUnavailable, CodeRecordsUnavailable, true},
		{intent.ErrFull, CodeRecordsUnavailable, true},
		{eris.New("any other error"), CodeOutcomeUnknown, false},
	}
	for _, c := range cases {
		_, e := answerWithoutRun(eris.Wrap(c.err, "begin"))
		require.Equal(t, c.code, e.Code)
		require.Equal(t, c.notRun, e.NotRun)
	}
	answer, e := answerWithoutRun(&intent.Done{Status: 201, Body: []byte("stored")})
	require.Nil(t, e)
	require.Equal(t, "stored", string(answer.Body))
}
