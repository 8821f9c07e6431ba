package fleet

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ErrMessage reports a message that cannot be decoded.
var ErrMessage = eris.New("cannot decode message of a router")

// encMode writes numbers in their shortest form.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Envelope is one message between routers: always the sender's report, and from
// relays also a digest.
type Envelope struct {
	Report *Report `cbor:"1,keyasint"`
	Digest *Digest `cbor:"2,keyasint,omitempty"`
	// Resync asks the recipient to begin its stream of digests with this epoch again,
	// because the sender has missed some of it; 0 asks for nothing.
	Resync uint64 `cbor:"3,keyasint,omitempty"`
}

// Encode returns the wire form of a message.
func (e *Envelope) Encode() ([]byte, error) { return encMode.Marshal(e) }

// DecodeEnvelope decodes a message. Errors: ErrMessage.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, eris.Wrap(ErrMessage, err.Error())
	}
	if e.Report == nil || e.Report.Host == "" || e.Report.Sequence == 0 {
		return nil, eris.Wrap(ErrMessage, "report has no host or no sequence number")
	}
	if e.Digest != nil && (e.Digest.Epoch == 0 || e.Digest.Number == 0) {
		return nil, eris.Wrap(ErrMessage, "digest has no epoch or no number")
	}
	return &e, nil
}

// Kind says what a message is for.
type Kind string

// Kinds of messages.
const (
	KindReport           Kind = "report"
	KindProbe            Kind = "probe"
	KindIntroduction     Kind = "introduction"
	KindMemberDigest     Kind = "member_digest"
	KindDataCentreDigest Kind = "data_centre_digest"
	KindResync           Kind = "resync"
)

// Message is an envelope with its recipients.
type Message struct {
	To       []string
	Kind     Kind
	Envelope Envelope
}
