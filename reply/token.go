package reply

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ErrBadToken means that a resume token is malformed or was not issued by this fleet.
var ErrBadToken = eris.New("resume token is not valid")

// Resume is the content of a resume token, with which any router can continue a
// streamed response that is in progress.
type Resume struct {
	_         struct{} `cbor:",toarray"`
	Request   string
	Workspace string
	Service   string
	// Upstream is the host ID of the upstream, Address its IP:port.
	Upstream string
	Address  string
	// Run is the ID of the stream at the upstream.
	Run string
	// Entry is the router that started the run.
	Entry string
}

// Signer signs and verifies resume tokens with a secret that all routers share. The
// content of a token is authenticated with HMAC-SHA256, not encrypted.
type Signer struct{ secret []byte }

// NewSigner returns a Signer that uses secret.
func NewSigner(secret []byte) *Signer { return &Signer{secret: secret} }

// Sign returns a signed token with the content r.
func (s *Signer) Sign(r Resume) (string, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return "", eris.Wrap(err, "encode resume token")
	}
	return base64.RawURLEncoding.EncodeToString(append(s.computeMAC(body), body...)), nil
}

// Verify checks a token and returns its content. Error: ErrBadToken.
func (s *Signer) Verify(token string) (Resume, error) {
	var r Resume
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return r, ErrBadToken
	}
	mac, body := raw[:sha256.Size], raw[sha256.Size:]
	if !hmac.Equal(mac, s.computeMAC(body)) {
		return r, ErrBadToken
	}
	if err := cbor.Unmarshal(body, &r); err != nil {
		return r, eris.Wrap(ErrBadToken, err.Error())
	}
	return r, nil
}

func (s *Signer) computeMAC(body []byte) []byte {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write(body)
	return mac.Sum(nil)
}
