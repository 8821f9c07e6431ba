package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts of a digest. Nodes exchange only the records
// of the parts that differ.
const bucketCount = 32

// digest holds hashes of the members that are not gone, for the comparison of
// views. Members that are gone are left out because nodes forget them at different
// times.
type digest struct {
	buckets [bucketCount]uint32
	total   uint32
}

func bucketOf(host string) int { return int(hashOf("bucket", host) % bucketCount) }

// sum returns the hash of the fields that are compared between views.
func (m Member) sum() uint32 {
	key := make([]byte, 0, 64)
	key = append(key, m.Host...)
	key = binary.BigEndian.AppendUint64(key, m.Incarnation)
	key = append(key, byte(m.State))
	return uint32(xxhash.Sum64(key))
}

// replace replaces the record of a member. The zero Member stands for no record.
func (d *digest) replace(old, m Member) {
	d.toggle(old)
	d.toggle(m)
}

// toggle adds a record, or removes one that was added before.
func (d *digest) toggle(m Member) {
	if m.Host == "" || m.State.isGone() {
		return
	}
	sum := m.sum()
	d.buckets[bucketOf(m.Host)] ^= sum
	d.total ^= sum
}

func (d *digest) bytes() []byte {
	out := make([]byte, 0, bucketCount*4)
	for _, bucket := range d.buckets {
		out = binary.BigEndian.AppendUint32(out, bucket)
	}
	return out
}

// differing returns the buckets in which the encoded digest of another node
// differs.
func (d *digest) differing(other []byte) [bucketCount]bool {
	var differs [bucketCount]bool
	for i := range differs {
		differs[i] = binary.BigEndian.Uint32(other[i*4:]) != d.buckets[i]
	}
	return differs
}

// sendSync starts a comparison of views. The message carries this router's own
// record, so that a joining router becomes known by it.
func (n *Node) sendSync(now time.Time, to string) {
	m := n.newMessage(now, kindSync)
	m.Buckets = n.digest.bytes()
	m.Records = []Member{n.self}
	n.send(to, m)
}

// receiveSync sends the records in which the views differ, and then this router's
// buckets, so that the sender does the same. A reply also ends joining.
func (n *Node) receiveSync(now time.Time, from string, m message) {
	if len(m.Buckets) == 0 {
		return
	}
	n.sendRecords(now, from, n.digest.differing(m.Buckets))
	if m.Kind == kindSyncReply {
		n.finishJoin(now)
		return
	}
	reply := n.newMessage(now, kindSyncReply)
	reply.Buckets = n.digest.bytes()
	n.send(from, reply)
}

func (n *Node) sendRecords(now time.Time, to string, buckets [bucketCount]bool) {
	var records []Member
	for _, m := range n.Members() {
		if buckets[bucketOf(m.Host)] {
			records = append(records, m)
		}
	}
	for chunk := range chunks(records, maxBodyBytes-128) { // 128 bytes for the other fields
		m := n.newMessage(now, kindRecords)
		m.Records = chunk
		n.send(to, m)
	}
}

// chunks splits records into parts of at most maxBytes, or of one record that is
// larger.
func chunks(records []Member, maxBytes int) func(func([]Member) bool) {
	return func(yield func([]Member) bool) {
		start, usedBytes := 0, 0
		for i, r := range records {
			if usedBytes+r.wireBytes() > maxBytes && i > start {
				if !yield(slices.Clone(records[start:i])) {
					return
				}
				start, usedBytes = i, 0
			}
			usedBytes += r.wireBytes()
		}
		if start < len(records) {
			yield(slices.Clone(records[start:]))
		}
	}
}
