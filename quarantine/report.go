package quarantine

import (
	"time"
)

// maxReported bounds the parts in one message to other routers.
const maxReported = 48

// Suspect is the evidence against one part, as routers exchange it.
type Suspect struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Part    string
	Crashes []Crash
	// Trials is the number of trials begun since the part was barred, TrialAgeMs the
	// age of the latest one.
	Trials     int
	TrialAgeMs int64
}

// Crash is one crash of an upstream as evidence against a part.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Instance uint64   // hash of the instance that crashed
	AgeMs    int64
	// Begun is set if the answer to a request with the part had begun, Cleared if an
	// answer begun later proves that the part was not the cause.
	Begun   bool
	Cleared bool
}

// Suspects returns what other routers have to know, the parts with the most evidence
// first.
func (t *Table) Suspects(now time.Time) []Suspect {
	if len(t.suspects) == 0 {
		return nil
	}
	keys := t.byEvidence()
	list := make([]Suspect, 0, min(len(keys), maxReported))
	for _, k := range keys[:min(len(keys), maxReported)] {
		s := t.suspects[k]
		list = append(list, s.report(now, k))
	}
	return list
}

// report returns the evidence against a part.
func (s *suspect) report(now time.Time, k Key) Suspect {
	entry := Suspect{Service: k.Service, Part: k.Part, Trials: s.trials}
	if s.trials > 0 {
		entry.TrialAgeMs = now.Sub(s.trialAt).Milliseconds()
	}
	for id, c := range s.crashes {
		entry.Crashes = append(entry.Crashes, Crash{Instance: id, AgeMs: now.Sub(c.at).Milliseconds(), Begun: c.begun, Cleared: c.cleared})
	}
	return entry
}

// Merge adds what another router knows. Entries that cannot be right are left out.
func (t *Table) Merge(now time.Time, suspects []Suspect) {
	news := false
	for _, entry := range suspects[:min(len(suspects), maxReported)] {
		if entry.Service == "" || entry.Part == "" || len(entry.Part) > maxPartLength || len(entry.Crashes) > maxCrashes {
			continue
		}
		k := Key{entry.Service, entry.Part}
		for _, c := range entry.Crashes {
			age := time.Duration(c.AgeMs) * time.Millisecond
			if c.AgeMs < 0 || c.AgeMs > barredMemory.Milliseconds() {
				continue
			}
			news = t.add(k, c.Instance, crash{at: now.Add(-age), begun: c.Begun, cleared: c.Cleared}) || news
		}
		t.mergeTrial(now, k, entry)
	}
	if news {
		t.revision++
	}
	t.Step(now)
	t.evict()
}

// mergeTrial adopts the latest trial. Of two estimates of when it began, the earlier one
// is closer, since messages take time.
func (t *Table) mergeTrial(now time.Time, k Key, entry Suspect) {
	s := t.suspects[k]
	if s == nil || entry.Trials <= 0 || entry.TrialAgeMs < 0 || entry.TrialAgeMs > barredMemory.Milliseconds() {
		return
	}
	at := now.Add(-time.Duration(entry.TrialAgeMs) * time.Millisecond)
	if entry.Trials > s.trials || entry.Trials == s.trials && at.Before(s.trialAt) {
		s.trials, s.trialAt = entry.Trials, at
	}
}
