package versioned

import (
	"maps"
	"slices"
)

// Evacuations is the set of the data centres that the operator has evacuated, as the
// store lists them. It is immutable; the zero value is empty.
type Evacuations struct {
	names map[string]bool
}

// NewEvacuations returns the set of the given data centres.
func NewEvacuations(names ...string) Evacuations {
	set := Evacuations{names: make(map[string]bool, len(names))}
	for _, name := range names {
		set.names[name] = true
	}
	return set
}

// Has reports whether a data centre is evacuated.
func (e Evacuations) Has(dataCentre string) bool { return e.names[dataCentre] }

// Names returns the evacuated data centres, sorted.
func (e Evacuations) Names() []string { return slices.Sorted(maps.Keys(e.names)) }

// Without returns the data centres of e that other does not have, sorted.
func (e Evacuations) Without(other Evacuations) []string {
	return slices.DeleteFunc(e.Names(), other.Has)
}

// Known returns the members of e that keep reports as known, and the sorted names of the
// others.
func (e Evacuations) Known(keep func(name string) bool) (known Evacuations, unknown []string) {
	known = NewEvacuations()
	for _, name := range e.Names() {
		if keep(name) {
			known.names[name] = true
		} else {
			unknown = append(unknown, name)
		}
	}
	return known, unknown
}
