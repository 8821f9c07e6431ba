package fleet

// interestRepeat is the number of reports after which the whole interest is
// announced again, in case a report with additions was lost.
const interestRepeat = 16

// announcedInterest is what this router has announced to its relays.
type announcedInterest struct {
	upstreams map[string]bool // nil stands for all
	reports   int             // since the whole was announced
}

// announceInterest returns what has to be announced to the relays of the upstreams
// that this router needs: nil for nothing new. needed lists them; nil stands for all.
func (t *Table) announceInterest(needed *Interest) *Interest {
	announced := &t.interest
	if needed == nil {
		needed = &Interest{All: true}
	}
	if needed.All && announced.upstreams == nil && announced.reports == 0 {
		return nil // relays assume it
	}
	announced.reports++
	if (announced.upstreams == nil) != needed.All || announced.reports >= interestRepeat {
		announced.reports = 1
		announced.upstreams = nil
		if !needed.All {
			announced.upstreams = setOf(needed.Upstreams)
		}
		return &Interest{Reset: true, All: needed.All, Upstreams: needed.Upstreams}
	}
	var added []string
	for _, upstream := range needed.Upstreams {
		if !announced.upstreams[upstream] {
			announced.upstreams[upstream] = true
			added = append(added, upstream)
		}
	}
	if len(added) == 0 {
		return nil
	}
	return &Interest{Upstreams: added}
}

// addInterest applies what a router has announced.
func (m *member) addInterest(announced *Interest) {
	switch {
	case announced == nil:
	case announced.Reset && announced.All:
		m.interest = nil
	case announced.Reset:
		m.interest = setOf(announced.Upstreams)
	case m.interest != nil:
		for _, upstream := range announced.Upstreams {
			m.interest[upstream] = true
		}
	}
}

func setOf(values []string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, v := range values {
		set[v] = true
	}
	return set
}
