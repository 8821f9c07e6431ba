package intent

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// view is the content of a shard with changes that have not been written yet.
type view struct {
	base      shardData
	changed   map[id]*record // nil marks a removed record
	compacted map[uint64]compactRecord
	size      int
	opts      *Options
	now       time.Time
}

// newView returns a view of base without its expired records; size is the size of
// the others. If there are no other changes, the view need not be written.
func newView(base shardData, size int, opts *Options, now time.Time) *view {
	return &view{
		base: base, changed: make(map[id]*record), compacted: make(map[uint64]compactRecord),
		size: size, opts: opts, now: now,
	}
}

// liveSize returns the size of a shard without its expired records, and when the next
// record expires.
func liveSize(data shardData, opts *Options, now time.Time) (size int, nextExpiry time.Time) {
	size = shardOverhead + len(data.compacts)*compactBytes
	nextExpiry = now.Add(opts.Expiry)
	for _, r := range data.records {
		if r.expired(now, opts.Expiry) {
			continue
		}
		size += r.size()
		if expiry := time.UnixMilli(r.CreatedMs).Add(opts.Expiry); expiry.Before(nextExpiry) {
			nextExpiry = expiry
		}
	}
	return size, nextExpiry
}

// get returns the record of a key, nil if there is none or it has expired, and
// whether that state has been written.
func (v *view) get(key id) (r *record, written bool) {
	if r, ok := v.changed[key]; ok {
		return r, false
	}
	r, ok := v.base.records[key]
	if !ok || r.expired(v.now, v.opts.Expiry) {
		return nil, true
	}
	return r, true
}

// set adds or replaces a record, compacting others if needed. It returns false if
// the shard has no space for it.
func (v *view) set(r *record) bool {
	growth := r.size()
	if old, _ := v.get(r.Key); old != nil {
		growth -= old.size()
	}
	if growth > 0 && v.size+growth > v.opts.MaxShardBytes {
		v.compactForSpace(v.size + growth - v.opts.MaxShardBytes)
	}
	if growth > 0 && v.size+growth > v.opts.MaxShardBytes {
		return false
	}
	v.changed[r.Key] = r
	v.size += growth
	return true
}

func (v *view) remove(key id) {
	if old, _ := v.get(key); old != nil {
		v.size -= old.size()
	}
	v.changed[key] = nil
}

// encode returns the value of the shard's object.
func (v *view) encode() []byte {
	records := make([]cbor.RawMessage, 0, len(v.base.records)+len(v.changed))
	for key, r := range v.base.records {
		if _, ok := v.changed[key]; !ok && !r.expired(v.now, v.opts.Expiry) {
			records = append(records, r.encoded)
		}
	}
	for _, r := range v.changed {
		if r != nil {
			records = append(records, r.encoded)
		}
	}
	compacts := make([]byte, 0, (len(v.base.compacts)+len(v.compacted))*compactBytes)
	for key, c := range v.base.compacts {
		if !c.expired(v.now, v.opts.Expiry) {
			compacts = appendCompact(compacts, key, c)
		}
	}
	for key, c := range v.compacted {
		compacts = appendCompact(compacts, key, c)
	}
	return encodeShard(records, compacts)
}

// merge applies the changes to the base once they have been written.
func (v *view) merge() {
	maps.DeleteFunc(v.base.records, func(_ id, r *record) bool { return r.expired(v.now, v.opts.Expiry) })
	maps.DeleteFunc(v.base.compacts, func(_ uint64, c compactRecord) bool { return c.expired(v.now, v.opts.Expiry) })
	for key, r := range v.changed {
		if r == nil {
			delete(v.base.records, key)
			continue
		}
		v.base.records[key] = r
	}
	maps.Copy(v.base.compacts, v.compacted)
}
