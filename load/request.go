package load

import "time"

// newRequest generates one request of the given kind.
func (g *generator) newRequest(kind Kind, at time.Duration) Request {
	r := Request{
		At:           at,
		Workspace:    g.workspace,
		Role:         g.role,
		Region:       g.randomRegion(),
		Kind:         kind,
		Seed:         g.random.Uint64() >> 1,
		NonStreaming: g.random.Float64() < nonStreamingChance,
	}
	r.Document = r.Seed
	switch kind {
	case KindQuestion:
		g.fillQuestion(&r)
	case KindHistory:
		g.fillHistory(&r)
	case KindStraggler:
		g.fillStraggler(&r)
	case KindCommit:
		r.Deadline = 5 * time.Second
	case KindStatus:
		r.Deadline = 3 * time.Second
	}
	if g.role != RoleNormal {
		// Batch work may wait, but not forever.
		r.Deadline = g.durationBetween(25*time.Second, 40*time.Second)
	}
	return r
}

func (g *generator) randomRegion() string {
	if g.random.Float64() < remoteChance {
		return g.regions[g.random.IntN(len(g.regions))]
	}
	return g.homeRegion
}

func (g *generator) fillQuestion(r *Request) {
	r.DocBytes = questionBytes/2 + g.random.IntN(questionBytes)
	r.Length = 6 + g.random.IntN(25)
	r.MaxTokens = 64
	r.Hint = g.costHint(r.Length)
	r.Deadline = time.Duration(float64(r.runTime())*(1.5+g.random.Float64())) + 500*time.Millisecond
}

func (g *generator) fillHistory(r *Request) {
	r.DocBytes = 1000 + g.random.IntN(5000)
	r.Length = 60 + g.random.IntN(141)
	r.MaxTokens = 400
	r.Hint = g.costHint(r.Length)
	r.Deadline = 3*r.runTime() + 10*time.Second
	if g.random.Float64() < tightDeadlineChance {
		r.Deadline = r.runTime()*14/10 + time.Second
	}
	r.Document = g.document(r.Document)
}

// document returns a recent document of the workspace at random, or adds fresh to
// the recent ones and returns it.
func (g *generator) document(fresh uint64) uint64 {
	if len(g.recentDocuments) > 0 && g.random.Float64() < documentReuseChance {
		return g.recentDocuments[g.random.IntN(len(g.recentDocuments))]
	}
	g.recentDocuments = append(g.recentDocuments, fresh)
	if len(g.recentDocuments) > maxRecentDocuments {
		g.recentDocuments = g.recentDocuments[1:]
	}
	return fresh
}

// fillStraggler sets a cost hint far below the real length.
func (g *generator) fillStraggler(r *Request) {
	r.DocBytes = questionBytes
	r.Length = 500 + g.random.IntN(501)
	r.MaxTokens = 2000
	r.Hint = 50
	r.Deadline = 3*r.runTime() + 20*time.Second
}

// costHint returns a random hint between half and twice the length.
func (g *generator) costHint(length int) int {
	return int(float64(length) * (0.5 + 1.5*g.random.Float64()))
}

func (g *generator) durationBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(g.random.Int64N(int64(most-least)))
}
