package intent

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// compactRecord is the short form of an ended record, kept after
// Options.KeepOutcome. It has just enough to refuse a second run, in a seventh of
// the space.
type compactRecord struct {
	request uint32 // prefix of the request digest
	status  uint16 // zero if the outcome is unknown
	minute  uint32 // of creation, counted from the Unix epoch
}

// compactBytes is the stored size of a compact record, including the first 8 bytes
// of its key, which are enough to identify a call within a shard.
const compactBytes = 18

func (k id) prefix64() uint64 { return binary.BigEndian.Uint64(k[:]) }

func (k id) prefix32() uint32 { return binary.BigEndian.Uint32(k[:]) }

// compacted returns the compact form of an ended record.
func (r *record) compacted() compactRecord {
	c := compactRecord{request: r.Request.prefix32(), minute: uint32(r.CreatedMs / time.Minute.Milliseconds())}
	if r.State == stateFinished {
		c.status = uint16(r.Outcome.Status)
	}
	return c
}

// expired reports whether the record has outlived expiry. The creation time is
// rounded up to a minute, so that a call is never forgotten early.
func (c compactRecord) expired(now time.Time, expiry time.Duration) bool {
	created := time.Unix(int64(c.minute+1)*60, 0)
	return now.Sub(created) >= expiry
}

// refusal returns the error for another attempt with the same key.
func (c compactRecord) refusal(request id) error {
	switch {
	case c.request != request.prefix32():
		return eris.Wrap(ErrKeyReused, "begin")
	case c.status == 0:
		return eris.Wrap(ErrOutcomeUnknown, "earlier call")
	default:
		stored := storedOutcome{Status: int(c.status), Dropped: true}
		return stored.done()
	}
}

func appendCompact(to []byte, key uint64, c compactRecord) []byte {
	to = binary.BigEndian.AppendUint64(to, key)
	to = binary.BigEndian.AppendUint32(to, c.request)
	to = binary.BigEndian.AppendUint16(to, c.status)
	return binary.BigEndian.AppendUint32(to, c.minute)
}

func decodeCompacts(from []byte) (map[uint64]compactRecord, error) {
	if len(from)%compactBytes != 0 {
		return nil, eris.Wrapf(ErrUnavailable, "compact records have an invalid length of %d bytes", len(from))
	}
	compacts := make(map[uint64]compactRecord, len(from)/compactBytes)
	for ; len(from) > 0; from = from[compactBytes:] {
		compacts[binary.BigEndian.Uint64(from)] = compactRecord{
			request: binary.BigEndian.Uint32(from[8:]),
			status:  binary.BigEndian.Uint16(from[12:]),
			minute:  binary.BigEndian.Uint32(from[14:]),
		}
	}
	return compacts, nil
}

// compactRecord returns the compact record of a key, unless there is none or it has
// expired.
func (v *view) compactRecord(key id) (compactRecord, bool) {
	if c, ok := v.compacted[key.prefix64()]; ok {
		return c, true
	}
	c, ok := v.base.compacts[key.prefix64()]
	return c, ok && !c.expired(v.now, v.opts.Expiry)
}

// compactOld compacts the records of calls that ended more than Options.KeepOutcome
// ago.
func (v *view) compactOld() {
	limit := v.now.Add(-v.opts.KeepOutcome).UnixMilli()
	for key, r := range v.base.records {
		if r.EndedMs < limit && v.compactable(key) {
			v.compactEnded(r)
		}
	}
}

// compactable reports whether the record has been written and its call has ended.
func (v *view) compactable(key id) bool {
	r, written := v.get(key)
	return written && r != nil && r.State != stateRunning
}

// compactEnded replaces a record by its compact form.
func (v *view) compactEnded(r *record) {
	v.remove(r.Key)
	v.compacted[r.Key.prefix64()] = r.compacted()
	v.size += compactBytes
}

// compactForSpace compacts ended records before Options.KeepOutcome has passed,
// oldest first, to free space. It frees at least an eighth of the shard
// at a time, because each call sorts all records.
func (v *view) compactForSpace(needed int) {
	target := v.size - max(needed, v.opts.MaxShardBytes/8)
	var ended []*record
	for key, r := range v.base.records {
		if v.compactable(key) {
			ended = append(ended, r)
		}
	}
	slices.SortFunc(ended, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.CreatedMs, b.CreatedMs), bytes.Compare(a.Key[:], b.Key[:]))
	})
	for _, r := range ended {
		if v.size <= target {
			return
		}
		v.compactEnded(r)
	}
}
