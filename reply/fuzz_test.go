package reply

import (
	"encoding/base64"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against accepting a token that was not signed with the secret of the fleet,
// and against a panic on a body that is signed but malformed.
func FuzzResumeToken(f *testing.F) {
	signer := NewSigner([]byte("one secret of the fleet"))
	other := NewSigner([]byte("the secret of another fleet"))
	for _, r := range []Resume{{}, {Request: "r1", Workspace: "w1", Upstream: "u", Address: "127.0.0.1:1", Run: "r1.1", Entry: "e"}} {
		for _, s := range []*Signer{signer, other} {
			token, err := s.Sign(r)
			require.NoError(f, err)
			f.Add(token, []byte(token))
		}
	}
	f.Add("", []byte{0x88})
	f.Add("not base64!", []byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, token string, body []byte) {
		if verified, err := signer.Verify(token); err != nil {
			require.ErrorIs(t, err, ErrBadToken)
		} else {
			resigned, err := signer.Sign(verified)
			require.NoError(t, err)
			reverified, err := signer.Verify(resigned)
			require.NoError(t, err)
			require.Equal(t, verified, reverified)
			_, err = other.Verify(token)
			require.ErrorIs(t, err, ErrBadToken)
		}
		signed := base64.RawURLEncoding.EncodeToString(append(signer.computeMAC(body), body...))
		if _, err := signer.Verify(signed); err != nil {
			require.ErrorIs(t, err, ErrBadToken)
		}
		_, err := other.Verify(signed)
		require.ErrorIs(t, err, ErrBadToken)
	})
}
