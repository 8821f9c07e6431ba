package member

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxBodyBytes keeps a message within one datagram.
const maxBodyBytes = 1100

// Limits on the contents of received messages.
const (
	maxRecords     = 128
	maxNameBytes   = 255
	maxIncarnation = 1 << 62
)

// errMalformed is returned for a body that is not a valid message.
var errMalformed = eris.New("malformed member message")

type messageKind uint8

const (
	kindHeartbeat     messageKind = iota + 1
	kindReply                     // heartbeat that is not answered
	kindIndirectProbe             // asks whether the receiver has heard About
	kindIndirectReply             // answers kindIndirectProbe: About was heard AgeMS ago
	kindSync                      // carries Buckets of the sender's view, to be compared
	kindSyncReply                 // answers kindSync with Buckets, after the records that differ
	kindRecords                   // carries only Records
)

// message is the form of all messages. Kind, Incarnation and Config are always set.
type message struct {
	Kind        messageKind `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	// Config is the configuration version in force at the sender. ConfirmedMS is
	// the age of its confirmation in milliseconds plus one, zero for never.
	Config      int64 `cbor:"3,keyasint,omitempty"`
	ConfirmedMS int64 `cbor:"4,keyasint,omitempty"`
	// Digest is the total hash of the sender's view.
	Digest uint32 `cbor:"5,keyasint,omitempty"`
	// Reach holds how long ago each data centre was heard; see encodeReach.
	Reach   []byte   `cbor:"6,keyasint,omitempty"`
	Records []Member `cbor:"7,keyasint,omitempty"`
	// About is the router that an indirect probe or its reply is about, AgeMS
	// how many milliseconds ago it was heard.
	About string `cbor:"8,keyasint,omitempty"`
	AgeMS int64  `cbor:"9,keyasint,omitempty"`
	// Buckets holds the bucket hashes of the sender's digest.
	Buckets []byte `cbor:"10,keyasint,omitempty"`
	// Highest is the highest configuration version that the sender has heard of,
	// zero if that is Config.
	Highest int64 `cbor:"11,keyasint,omitempty"`
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxRecords, MaxMapPairs: 16, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func encode(m message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // the type holds only integers, strings and bytes
	}
	return body
}

// decode parses and validates a message. Any error wraps errMalformed.
func decode(body []byte) (message, error) {
	var m message
	if err := decoder.Unmarshal(body, &m); err != nil {
		return message{}, eris.Wrap(errMalformed, err.Error())
	}
	if !m.isValid() {
		return message{}, errMalformed
	}
	return m, nil
}

func (m message) isValid() bool {
	if m.Kind < kindHeartbeat || m.Kind > kindRecords || m.Incarnation > maxIncarnation {
		return false
	}
	if m.Config < 0 || m.Highest < 0 || m.ConfirmedMS < 0 || m.AgeMS < 0 || len(m.About) > maxNameBytes {
		return false
	}
	if len(m.Buckets) != 0 && len(m.Buckets) != bucketCount*4 {
		return false
	}
	for _, r := range m.Records {
		if !r.isValid() {
			return false
		}
	}
	return len(m.Reach)%reachEntryBytes == 0
}

func (m Member) isValid() bool {
	if m.Host == "" || m.Incarnation > maxIncarnation || m.State < Joining || m.State > Left || m.ConfigVersion < 0 {
		return false
	}
	for _, s := range []string{m.Host, m.Region, m.DataCentre, m.Address, m.PeerAddress, m.AdminAddress} {
		if len(s) > maxNameBytes {
			return false
		}
	}
	return true
}

// wireBytes returns an upper bound of the encoded size of a record.
func (m Member) wireBytes() int {
	const fixed = 40 // keys, lengths and numbers
	names := len(m.Host) + len(m.Region) + len(m.DataCentre)
	return fixed + names + len(m.Address) + len(m.PeerAddress) + len(m.AdminAddress)
}

// short returns the record as sent in an update: without the description of the
// member if the state is Suspect or higher, because receivers know the member then.
func (m Member) short() Member {
	if m.State < Suspect {
		return m
	}
	return Member{Host: m.Host, Incarnation: m.Incarnation, State: m.State}
}
