package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSightings bounds the pairs of a part and a crash that a router remembers having
// heard of. Beyond it crashes are no news, and spread only by the repeated messages.
const maxSightings = 8192

// sightingsInterval is the time between two searches for sightings that are too old.
const sightingsInterval = time.Second

// sightings remembers which crashes a router has heard of as evidence against which
// parts, also after its limits on suspects and crashes made it drop the evidence. Without
// that, routers that keep different ones of the same crashes would tell each other of the
// dropped ones as news for ever.
type sightings struct {
	byPair    map[uint64]sighting
	steppedAt time.Time
}

// sighting is what was heard of one crash as evidence against one part.
type sighting struct {
	at    time.Time // the earliest of all estimates
	begun bool
}

// note records a crash as evidence against a part and reports whether that is the first
// time. It sets the crash to the earliest estimate of its time: each message adds its own
// delay to it.
func (s *sightings) note(k Key, id uint64, c *crash) (first bool) {
	pair := pairHash(k, id)
	before, known := s.byPair[pair]
	if known && before.at.Before(c.at) {
		c.at = before.at
	}
	if !known && len(s.byPair) >= maxSightings {
		return false
	}
	if s.byPair == nil {
		s.byPair = map[uint64]sighting{}
	}
	s.byPair[pair] = sighting{at: c.at, begun: before.begun || c.begun}
	return !known || c.begun && !before.begun
}

// step forgets crashes that are too old to count as evidence.
func (s *sightings) step(now time.Time) {
	if now.Sub(s.steppedAt) < sightingsInterval {
		return
	}
	s.steppedAt = now
	for pair, seen := range s.byPair {
		if now.Sub(seen.at) > memory {
			delete(s.byPair, pair)
		}
	}
}

func pairHash(k Key, id uint64) uint64 {
	digest := xxhash.New()
	var crash [8]byte
	binary.LittleEndian.PutUint64(crash[:], id)
	for _, field := range [][]byte{[]byte(k.Service), {0}, []byte(k.Part), {0}, crash[:]} {
		_, _ = digest.Write(field) // never fails
	}
	return digest.Sum64()
}
