package cell

import "slices"

// outbox collects the messages of one step: for each destination one section per
// cell.
type outbox struct {
	sections map[string]map[string]*section
}

func newOutbox() outbox {
	return outbox{sections: map[string]map[string]*section{}}
}

// sectionFor returns the section about a cell in the message to a host, creating
// it if necessary.
func (o *outbox) sectionFor(host, cell string) *section {
	cells := o.sections[host]
	if cells == nil {
		cells = map[string]*section{}
		o.sections[host] = cells
	}
	s := cells[cell]
	if s == nil {
		s = &section{Cell: cell}
		cells[cell] = s
	}
	return s
}

// take removes and returns the sections for a host, sorted by cell.
func (o *outbox) take(host string) []section {
	cells := o.sections[host]
	if len(cells) == 0 {
		return nil
	}
	delete(o.sections, host)
	taken := make([]section, 0, len(cells))
	for _, name := range sortedKeys(cells) {
		taken = append(taken, *cells[name])
	}
	return taken
}

// hosts returns the destinations, sorted.
func (o *outbox) hosts() []string { return sortedKeys(o.sections) }

// packSeqs sorts sequence numbers and delta-encodes them.
func packSeqs(seqs []uint64) []uint64 {
	slices.Sort(seqs)
	packed := make([]uint64, len(seqs))
	last := uint64(0)
	for i, s := range seqs {
		packed[i] = s - last
		last = s
	}
	return packed
}

// unpackSeqs is the inverse of packSeqs.
func unpackSeqs(packed []uint64) []uint64 {
	seqs := make([]uint64, len(packed))
	last := uint64(0)
	for i, d := range packed {
		last += d
		seqs[i] = last
	}
	return seqs
}
