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

// record is the at-most-once record of one key, as stored. Request is a hash of the
// request; Holder and Incarnation identify the router that made the attempt. CreatedMs
// and EndedMs are Unix times in milliseconds; EndedMs is zero while the call runs.
type record struct {
	Key         id     `cbor:"1,keyasint"`
	Attempt     id     `cbor:"2,keyasint"`
	Request     id     `cbor:"3,keyasint"`
	Holder      string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	CreatedMs   int64  `cbor:"6,keyasint"`
	State       state  `cbor:"7,keyasint"`
	EndedMs     int64  `cbor:"9,keyasint,omitempty"`
	// Outcome is set once the call has finished.
	Outcome *storedOutcome `cbor:"8,keyasint,omitempty"`

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

// storedOutcome is an Outcome as stored and forwarded. A body over the size limit is
// replaced by its digest and length.
type storedOutcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	BodyDigest  []byte `cbor:"4,keyasint,omitempty"`
	BodyBytes   int    `cbor:"5,keyasint,omitempty"`
	// Dropped is set if only the status is left.
	Dropped bool `cbor:"6,keyasint,omitempty"`
}

// newStoredOutcome copies the outcome, because the caller may change it afterwards.
func newStoredOutcome(outcome Outcome, maxBody int) storedOutcome {
	stored := storedOutcome{Status: outcome.Status, ContentType: validType(outcome.ContentType), Body: bytes.Clone(outcome.Body)}
	if len(stored.Body) > maxBody {
		return stored.withoutBody()
	}
	return stored
}

// validType truncates a content type and removes invalid UTF-8, which CBOR would
// refuse to decode, so that the whole shard would be unreadable.
func validType(contentType string) string {
	return strings.ToValidUTF8(contentType[:min(len(contentType), maxContentType)], "")
}

func (s storedOutcome) withoutBody() storedOutcome {
	if s.BodyDigest != nil {
		return s
	}
	digest := sha256.Sum256(s.Body)
	s.BodyDigest = digest[:len(id{})]
	s.BodyBytes = len(s.Body)
	s.Body = nil
	return s
}

// finished returns a copy of the record in the finished state with the outcome.
func (r record) finished(outcome storedOutcome) *record {
	r.State = stateFinished
	r.Outcome = &outcome
	return r.withEncoding()
}

// withoutBody returns a copy of the record with the body replaced by its digest and
// length.
func (r record) withoutBody() *record {
	return r.finished(r.Outcome.withoutBody())
}

func (s *storedOutcome) done() *Done {
	done := &Done{Status: s.Status, Header: http.Header{}, Body: s.Body, BodyBytes: len(s.Body)}
	if s.ContentType != "" {
		done.Header.Set("Content-Type", s.ContentType)
	}
	done.Truncated = s.Dropped
	if s.BodyDigest != nil {
		done.Truncated = true
		done.BodyDigest = s.BodyDigest
		done.BodyBytes = s.BodyBytes
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
