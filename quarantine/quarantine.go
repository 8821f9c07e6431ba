// Package quarantine finds the parts of prompts that make upstreams crash, and decides
// which requests must not be sent to an upstream because of them.
//
// Evidence against a part is a crash of an upstream that had not yet written much of an
// answer to a prompt with the part. An answer to another prompt with it, begun after the
// crash, is proof that the part was not the cause, and clears that crash. Crashes are
// identified by the instance that crashed, and both crashes and clearings only add up, so
// routers can exchange what they know in any order and as often as they like.
//
// The package does no I/O and takes the time as an argument. Its types are not safe for
// concurrent use.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingshift/lacewingshift/placement"
)

const (
	// begunWeight and waitingWeight are the weights of a crash as evidence against the
	// parts of a request whose answer had begun, and of one that still waited. An
	// upstream crashes when it begins to write, but its last bytes may be lost.
	begunWeight   = 2
	waitingWeight = 1
	// barWeight is the evidence from which a part is barred, that of three crashes.
	barWeight = 3 * begunWeight
	// noRetryWeight is the evidence from which a request with the part is not tried a
	// second time: one more crash bars the part.
	noRetryWeight = 2 * begunWeight
	// sameCause is the time within which crashes count as one: upstreams that end
	// together share a rack or a power supply.
	sameCause = 100 * time.Millisecond
	// memory is how long evidence counts that bars no part, and barredMemory how long a
	// part stays barred without another crash. clearedMemory is how long a cleared
	// crash is remembered, so that reports of other routers cannot bring it back.
	memory        = 5 * time.Minute
	barredMemory  = time.Hour
	clearedMemory = time.Minute
	// maxSuspects bounds the parts with evidence, and maxCrashes the crashes of one.
	maxSuspects = 512
	maxCrashes  = 8
	// maxParts bounds the parts of one prompt that are considered.
	maxParts = 64
	// maxPartLength bounds the id of a part; longer ones are replaced by a hash.
	maxPartLength = 64
)

// Key identifies a part of prompts at one service.
type Key struct{ Service, Part string }

// crash is the crash of one upstream instance as evidence against a part.
type crash struct {
	at      time.Time // the earliest of all estimates
	begun   bool      // the answer to a request with the part had begun
	cleared bool      // an answer begun later has proved that the part was not the cause
}

// suspect is what is known of one part.
type suspect struct {
	crashes map[uint64]*crash // by instance
	trials  int               // number of trials begun since the part was barred
	trialAt time.Time         // start of the latest one
}

// Table is what one router knows of the parts that may crash upstreams.
type Table struct {
	suspects  map[Key]*suspect
	sightings sightings
	barred    map[Key]bool // as of the latest Changes
	revision  int
	// self is the host of this router, ready those that take turns with trials.
	self  string
	ready []string
}

// NewTable returns an empty table. It allows no trials before SetRouters.
func NewTable() *Table {
	return &Table{suspects: map[Key]*suspect{}, barred: map[Key]bool{}}
}

// Revision changes whenever a crash becomes known that is news for the other routers.
func (t *Table) Revision() int { return t.revision }

// candidates returns the parts of a prompt that may be to blame: all but the last one,
// which belongs to a single request or session.
func candidates(parts []placement.Part) []placement.Part {
	if len(parts) == 0 {
		return nil
	}
	return parts[:min(len(parts)-1, maxParts)]
}

func keyOf(service, part string) Key {
	if len(part) > maxPartLength {
		part = "hash-" + strconv.FormatUint(xxhash.Sum64String(part), 16)
	}
	return Key{Service: service, Part: part}
}

// instanceHash identifies a crash by the instance that crashed.
func instanceHash(i placement.Instance) uint64 {
	var started [8]byte
	binary.LittleEndian.PutUint64(started[:], uint64(i.StartedMs))
	digest := xxhash.New()
	_, _ = digest.WriteString(i.Upstream)
	_, _ = digest.Write(started[:])
	return digest.Sum64()
}

// Crashed records that an instance crashed while it had a request with the given parts.
// begun is set if the answer had begun.
func (t *Table) Crashed(at time.Time, service string, i placement.Instance, parts []placement.Part, begun bool) {
	id, news := instanceHash(i), false
	for _, part := range candidates(parts) {
		news = t.add(keyOf(service, part.ID), id, crash{at: at, begun: begun}) || news
	}
	if news {
		t.revision++
	}
	t.evict()
}

// add adds a crash to the evidence against a part, and reports whether it was unknown.
func (t *Table) add(k Key, id uint64, c crash) (news bool) {
	first := t.sightings.note(k, id, &c)
	s := t.suspects[k]
	if s == nil {
		s = &suspect{crashes: map[uint64]*crash{}}
		t.suspects[k] = s
	}
	known := s.crashes[id]
	if known == nil {
		s.crashes[id] = &c
		s.dropOldest()
		return first && s.crashes[id] != nil && !c.cleared
	}
	news = first && c.begun && !known.begun && !known.cleared
	if c.at.Before(known.at) {
		known.at = c.at
	}
	known.begun = known.begun || c.begun
	known.cleared = known.cleared || c.cleared
	return news
}

// dropOldest keeps the number of crashes within maxCrashes.
func (s *suspect) dropOldest() {
	if len(s.crashes) <= maxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b uint64) int {
		return cmp.Or(s.crashes[a].at.Compare(s.crashes[b].at), cmp.Compare(a, b))
	})
	delete(s.crashes, oldest)
}

// Sound records that an upstream wrote an answer to a prompt with the given parts,
// beginning at begunAt.
func (t *Table) Sound(begunAt time.Time, service string, parts []placement.Part) {
	if len(t.suspects) == 0 {
		return
	}
	for _, part := range candidates(parts) {
		s := t.suspects[keyOf(service, part.ID)]
		if s == nil {
			continue
		}
		for _, c := range s.crashes {
			c.cleared = c.cleared || !c.at.After(begunAt)
		}
	}
}

// lastCrash returns the time of the latest crash that is not cleared, or of the latest
// one at all.
func (s *suspect) lastCrash() time.Time {
	var last, lastOpen time.Time
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
		if !c.cleared && c.at.After(lastOpen) {
			lastOpen = c.at
		}
	}
	if lastOpen.IsZero() {
		return last
	}
	return lastOpen
}

// open returns the crashes that are not cleared, by their time.
func (s *suspect) open() []*crash {
	var open []*crash
	for _, c := range s.crashes {
		if !c.cleared {
			open = append(open, c)
		}
	}
	slices.SortFunc(open, func(a, b *crash) int { return a.at.Compare(b.at) })
	return open
}

// weight returns the evidence against a part. Crashes within sameCause count as one.
func (s *suspect) weight() int {
	total, weight := 0, 0
	var first time.Time
	for _, c := range s.open() {
		if first.IsZero() || c.at.Sub(first) > sameCause {
			total, weight, first = total+weight, 0, c.at
		}
		weight = max(weight, c.weight())
	}
	return total + weight
}

func (c *crash) weight() int {
	if c.begun {
		return begunWeight
	}
	return waitingWeight
}

// expired reports whether nothing that is known of a part counts any more.
func (s *suspect) expired(now time.Time) bool {
	age := now.Sub(s.lastCrash())
	if age <= clearedMemory {
		return false
	}
	switch weight := s.weight(); {
	case weight == 0:
		return age > clearedMemory
	case weight < barWeight:
		return age > memory
	default:
		return age > barredMemory
	}
}

// Step forgets what no longer counts.
func (t *Table) Step(now time.Time) {
	t.sightings.step(now)
	for k, s := range t.suspects {
		if s.expired(now) {
			delete(t.suspects, k)
		}
	}
}

// evict keeps the number of suspects within maxSuspects. Those with the least evidence
// go first, and of these the oldest.
func (t *Table) evict() {
	if len(t.suspects) <= maxSuspects {
		return
	}
	for _, k := range t.byEvidence()[maxSuspects:] {
		delete(t.suspects, k)
	}
}

// byEvidence returns the suspects, those with the most evidence first. Cleared crashes
// count in this order, since other routers have to learn that they are cleared.
func (t *Table) byEvidence() []Key {
	type rank struct {
		key     Key
		weight  int
		crashes int
		last    time.Time
	}
	ranks := make([]rank, 0, len(t.suspects))
	for k, s := range t.suspects {
		ranks = append(ranks, rank{k, s.weight(), len(s.crashes), s.lastCrash()})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(
			cmp.Compare(min(b.weight, barWeight), min(a.weight, barWeight)), cmp.Compare(b.crashes, a.crashes), b.last.Compare(a.last),
			cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Part, b.key.Part))
	})
	keys := make([]Key, len(ranks))
	for i, r := range ranks {
		keys[i] = r.key
	}
	return keys
}
