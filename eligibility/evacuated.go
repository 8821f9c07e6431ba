package eligibility

import (
	"sync/atomic"
	"time"
)

// InEvacuated is the reason of the rule Evacuated.
const InEvacuated Reason = "data centres are evacuated"

// Evacuated keeps requests away from data centres that the operator has evacuated. The
// zero value allows all. It is safe for concurrent use.
type Evacuated struct {
	set atomic.Pointer[map[string]bool] // by data centre; nil for none
}

// Set replaces the evacuated data centres. It takes effect with the next Check.
func (e *Evacuated) Set(dataCentres []string) {
	set := make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		set[name] = true
	}
	e.set.Store(&set)
}

// Has reports whether a data centre is evacuated.
func (e *Evacuated) Has(dataCentre string) bool {
	set := e.set.Load()
	return set != nil && (*set)[dataCentre]
}

// Check implements Rule.
func (e *Evacuated) Check(_ time.Time, u Upstream, _ Request) Reason {
	if e.Has(u.DataCentre) {
		return InEvacuated
	}
	return ""
}

// Uniform implements Uniform.
func (e *Evacuated) Uniform() {}
