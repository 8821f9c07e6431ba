package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The simulated load: sound and deadly requests a second, the time until an answer
// begins, the time until ProvenEvents have arrived, and how long a crashed engine is away.
const (
	simStep     = 10 * time.Millisecond
	simTime     = 20 * time.Second
	simInterval = 150 * time.Millisecond // between exchanges
	simEngines  = 64
	simSound    = 150.0
	simBegin    = 150 * time.Millisecond
	simProof    = 100 * time.Millisecond
	simAway     = 4 * time.Second
	simSubjects = 60
	// simKnown is the time until all routers know of a crash: three exchanges, and the
	// requests that are under way meanwhile.
	simKnown = 3*simInterval + 2*simBegin
)

type simRequest struct {
	router  int
	subject int
	deadly  bool
	retry   bool
	begin   time.Time // of its answer
}

// sim plays a fleet whose engines crash on a part, and some for other causes.
type sim struct {
	random   *rand.Rand
	routers  []*Table
	hub      *Table // stands for the relays
	engines  [simEngines][]simRequest
	starts   [simEngines]int       // incarnation
	awayTill [simEngines]time.Time // after a crash
	deadly   float64               // requests a second
	others   float64               // crashes of other causes a second

	crashes     []time.Time // by the deadly part
	deadlySends []time.Time
	soundBarred int // sound requests that were refused
	soundSent   int
}

func newSim(seed uint64, routers int, deadly, others float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 5)), hub: NewTable(), deadly: deadly, others: others}
	for range routers {
		s.routers = append(s.routers, NewTable())
	}
	return s
}

// ids returns the parts of a request. Subject 0 is the one that the deadly part is
// always beside.
func (r simRequest) ids() []string {
	ids := []string{"first", fmt.Sprint("subject-", r.subject)}
	if r.deadly {
		ids = append(ids, "deadly")
	}
	return ids
}

func (s *sim) happens(rate float64) bool { return s.random.Float64() < rate*simStep.Seconds() }

// send sends a request to the engine of its subject or, if that is away, to another one.
func (s *sim) send(now time.Time, deadly bool) {
	r := simRequest{router: s.random.IntN(len(s.routers)), deadly: deadly}
	if !deadly {
		r.subject = s.random.IntN(simSubjects)
	}
	verdict := s.routers[r.router].Check(now, service, prompt(r.ids()...))
	if verdict.Barred {
		if !deadly {
			s.soundBarred++
		}
		return
	}
	if deadly {
		s.deadlySends = append(s.deadlySends, now)
	} else {
		s.soundSent++
	}
	s.place(now, r)
}

func (s *sim) place(now time.Time, r simRequest) {
	for engine := r.subject; engine < r.subject+simEngines; engine++ {
		if e := engine % simEngines; !now.Before(s.awayTill[e]) {
			r.begin = now.Add(simBegin/2 + time.Duration(s.random.Int64N(int64(simBegin))))
			s.engines[e] = append(s.engines[e], r)
			return
		}
	}
}

// crash ends an engine with all that it runs. Requests that have shown nothing yet are
// tried once more, unless their router forbids it.
func (s *sim) crash(now time.Time, engine int) {
	running := s.engines[engine]
	s.engines[engine], s.awayTill[engine] = nil, now.Add(simAway)
	for _, r := range running {
		if r.begin.Add(simProof).After(now) {
			i := instance(engine)
			i.StartedMs = int64(s.starts[engine])
			s.routers[r.router].Crashed(now, service, i, prompt(r.ids()...), !r.begin.After(now))
		}
	}
	s.starts[engine]++
	for _, r := range running {
		if r.deadly && !r.retry && !s.routers[r.router].Check(now, service, prompt(r.ids()...)).NoRetry {
			s.deadlySends = append(s.deadlySends, now)
			s.place(now, simRequest{router: r.router, subject: r.subject, deadly: true, retry: true})
		}
	}
}

func (s *sim) step(now time.Time) {
	if s.happens(s.deadly) {
		s.send(now, true)
	}
	for range 2 {
		if s.happens(simSound / 2) {
			s.send(now, false)
		}
	}
	if s.happens(s.others) {
		s.crash(now, s.random.IntN(simEngines))
	}
	for e := range s.engines {
		if i := slices.IndexFunc(s.engines[e], func(r simRequest) bool { return r.deadly && !r.begin.After(now) }); i >= 0 {
			s.crashes = append(s.crashes, now)
			s.crash(now, e)
			continue
		}
		s.engines[e] = slices.DeleteFunc(s.engines[e], func(r simRequest) bool {
			if r.begin.Add(simProof).After(now) {
				return false
			}
			s.routers[r.router].Sound(r.begin, service, prompt(r.ids()...))
			return true
		})
	}
	if now.Sub(epoch)%simInterval == 0 {
		s.exchange(now)
	}
}

// exchange lets all routers hear of each other through the hub, with 2% of the messages
// lost.
func (s *sim) exchange(now time.Time) {
	for _, r := range s.routers {
		if s.random.Float64() >= 0.02 {
			s.hub.Merge(now, r.Suspects(now))
		}
	}
	report := s.hub.Suspects(now)
	for _, r := range s.routers {
		if s.random.Float64() >= 0.02 {
			r.Merge(now, report)
		}
	}
}

// sendsAfterLearning counts requests with the deadly part later than 3 s after the fifth
// crash, the last one if there are fewer.
func (s *sim) sendsAfterLearning() int {
	if len(s.crashes) == 0 {
		return 0
	}
	learnt := s.crashes[min(4, len(s.crashes)-1)].Add(3 * time.Second)
	count := 0
	for _, at := range s.deadlySends {
		if at.After(learnt) {
			count++
		}
	}
	return count
}

// A deadly part must be barred after few crashes, whatever its rate and beside crashes of
// other causes, and no sound request must be refused for long.
func TestAttributionOverManySeeds(t *testing.T) {
	for _, c := range []struct {
		name           string
		routers, seeds int
		deadly, others float64 // a second
	}{
		{"9 routers", 9, 40, 2.5, 0},
		{"9 routers, seldom", 9, 40, 0.3, 0},
		{"9 routers, often", 9, 40, 20, 0},
		{"9 routers, other crashes", 9, 40, 2.5, 1},
		{"9 routers, only other crashes", 9, 40, 0, 2},
		{"95 routers", 95, 4, 10, 0.5},
		{"390 routers", 390, 1, 10, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds := c.seeds
			if more, err := strconv.Atoi(os.Getenv("LACEWING_QUARANTINE_SEEDS")); err == nil {
				seeds = more
			}
			// Three crashes bar the part; each request may be tried twice.
			maxCrashes := 6 + int(math.Ceil(c.deadly*simKnown.Seconds()))
			var crashes, late, soundBarred []int
			for seed := range uint64(seeds) {
				s := newSim(seed, c.routers, c.deadly, c.others)
				for now := epoch; now.Before(epoch.Add(simTime)); now = now.Add(simStep) {
					s.step(now)
				}
				crashes, late, soundBarred = append(crashes, len(s.crashes)), append(late, s.sendsAfterLearning()), append(soundBarred, 1000*s.soundBarred/max(s.soundSent+s.soundBarred, 1))
			}
			for _, list := range [][]int{crashes, late, soundBarred} {
				slices.Sort(list)
			}
			t.Logf("crashes by the part: median %d, most %d; late sends: most %d; sound requests refused: most %d in 1,000",
				crashes[seeds/2], crashes[seeds-1], late[seeds-1], soundBarred[seeds-1])
			assert.LessOrEqual(t, crashes[seeds-1], maxCrashes)
			assert.LessOrEqual(t, late[seeds-1], 3)
			assert.LessOrEqual(t, soundBarred[seeds-1], 5, "of 1,000 sound requests")
		})
	}
}
