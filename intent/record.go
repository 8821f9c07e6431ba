package intent

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// id is a random attempt ID, or a prefix of a SHA-256.
type id [16]byte

// state is the state of a call.
type state uint8

const (
	stateRunning state = iota + 1
	stateFinished
	stateUnknown
)

// record is the at-most-once record of one key, as stored.
type record struct {
	Key         id     `cbor:"1,keyasint"`
	Attempt     id     `cbor:"2,keyasint"`
	Request     id     `cbor:"3,keyasint"`
	Holder      string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	CreatedMs   int64  `cbor:"6,keyasint"`
	State       state  `cbor:"7,keyasint"`
	EndedMs     int64  `cbor:"9,keyasint,omitempty"`
	// Answer is set once the call has finished.
	Answer *answer `cbor:"8,keyasint,omitempty"`

	// encoded caches the CBOR encoding of the record, because each write contains
	// the whole shard although few of its records changed.
	encoded cbor.RawMessage
}

const (
	shardFormat = 1
	// shardOverhead is the size in bytes of the CBOR framing around the records.
	shardOverhead = 16
	// finishReserve is the space in bytes reserved with a running record for its
	// outcome without the body: status, body digest and length, and content type.
	finishReserve = 160
	// maxContentType is the maximum length in bytes of a stored content type, which
	// has to fit into finishReserve.
	maxContentType = 100
)

// shardValue is the stored form of a shard.
type shardValue struct {
	_       struct{} `cbor:",toarray"`
	Format  int
	Records []cbor.RawMessage
	// Compacts is the concatenation of the compact records, compactBytes each.
	Compacts []byte
}

// shardData is the decoded content of a shard.
type shardData struct {
	records  map[id]*record
	compacts map[uint64]compactRecord
}

func newShardData() shardData {
	return shardData{records: make(map[id]*record), compacts: make(map[uint64]compactRecord)}
}

// hashID hashes the parts with their lengths, so that different parts with the same
// concatenation have different IDs.
func hashID(parts ...string) id {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return id(hash.Sum(nil)[:len(id{})])
}

func (k Key) id() id { return hashID(k.Workspace, k.Service, k.Key) }

func shardOf(key id) int { return int(xxhash.Sum64(key[:]) % Shards) }

func (r *record) expired(now time.Time, expiry time.Duration) bool {
	return now.UnixMilli()-r.CreatedMs >= expiry.Milliseconds()
}

// size returns the space that the record needs in its shard. A running record
// includes the space for its outcome.
func (r *record) size() int {
	if r.State == stateRunning {
		return len(r.encoded) + finishReserve
	}
	return len(r.encoded)
}

// withEncoding returns a copy of the record with its encoding.
func (r record) withEncoding() *record {
	encoded, err := cbor.Marshal(&r)
	if err != nil {
		panic(eris.Wrap(err, "encode record")) // the type has only encodable fields
	}
	r.encoded = encoded
	return &r
}

// answer is an outcome as stored and forwarded. A body over the size limit is
// replaced by its digest and length.
type answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	BodyDigest  []byte `cbor:"4,keyasint,omitempty"`
	BodyBytes   int    `cbor:"5,keyasint,omitempty"`
	// Dropped is set if only the status is left.
	Dropped bool `cbor:"6,keyasint,omitempty"`
}

// newAnswer copies the outcome, because the caller may change it afterwards.
func newAnswer(outcome Outcome, maxBody int) answer {
	a := answer{Status: outcome.Status, ContentType: validType(outcome.ContentType), Body: bytes.Clone(outcome.Body)}
	if len(a.Body) > maxBody {
		return a.withoutBody()
	}
	return a
}

// validType truncates a content type and removes invalid UTF-8, which CBOR would
// refuse to decode, so that the whole shard would be unreadable.
func validType(contentType string) string {
	return strings.ToValidUTF8(contentType[:min(len(contentType), maxContentType)], "")
}

func (a answer) withoutBody() answer {
	if a.BodyDigest != nil {
		return a
	}
	digest := sha256.Sum256(a.Body)
	a.BodyDigest = digest[:len(id{})]
	a.BodyBytes = len(a.Body)
	a.Body = nil
	return a
}

// finished returns a copy of the record with its outcome.
func (r record) finished(a answer) *record {
	r.State = stateFinished
	r.Answer = &a
	return r.withEncoding()
}

// withoutBody returns a copy of the record with the body replaced by its digest and
// length.
func (r record) withoutBody() *record {
	return r.finished(r.Answer.withoutBody())
}

func (a *answer) done() *Done {
	done := &Done{Status: a.Status, Header: http.Header{}, Body: a.Body, BodyBytes: len(a.Body)}
	if a.ContentType != "" {
		done.Header.Set("Content-Type", a.ContentType)
	}
	done.Truncated = a.Dropped
	if a.BodyDigest != nil {
		done.Truncated = true
		done.BodyDigest = a.BodyDigest
		done.BodyBytes = a.BodyBytes
	}
	return done
}

// decodeShard decodes a stored shard. A shard that cannot be decoded is an error and
// is never treated as empty, which would allow calls to run twice.
func decodeShard(value []byte) (shardData, error) {
	var stored shardValue
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return shardData{}, eris.Wrap(ErrUnavailable, "decode shard: "+err.Error())
	}
	if stored.Format != shardFormat {
		return shardData{}, eris.Wrapf(ErrUnavailable, "unknown shard format %d, expected %d", stored.Format, shardFormat)
	}
	compacts, err := decodeCompacts(stored.Compacts)
	if err != nil {
		return shardData{}, err
	}
	data := shardData{records: make(map[id]*record, len(stored.Records)), compacts: compacts}
	for _, encoded := range stored.Records {
		r := &record{encoded: encoded}
		if err := cbor.Unmarshal(encoded, r); err != nil {
			return shardData{}, eris.Wrap(ErrUnavailable, "decode record: "+err.Error())
		}
		data.records[r.Key] = r
	}
	return data, nil
}

func encodeShard(records []cbor.RawMessage, compacts []byte) []byte {
	value, err := cbor.Marshal(shardValue{Format: shardFormat, Records: records, Compacts: compacts})
	if err != nil {
		panic(eris.Wrap(err, "encode shard")) // the records are encoded already
	}
	return value
}
