package gateway

import (
	"github.com/lacewingshift/lacewingshift/catalog"
)

// engineCapacity is the part of the nominal capacity that engines outside evacuated data
// centres have. An evacuated data centre keeps the largest number of engines that was
// listed there during its evacuation: its engines may end meanwhile, and that must not
// count as if the others had its capacity.
type engineCapacity struct {
	listed    map[string]int // engines by data centre
	evacuated map[string]int // the same, the largest number, for evacuated data centres
}

// list sets the number of listed engines by data centre.
func (c *engineCapacity) list(engines map[string]int) {
	c.listed = engines
	for dataCentre, most := range c.evacuated {
		c.evacuated[dataCentre] = max(most, engines[dataCentre])
	}
}

// evacuate replaces the evacuated data centres.
func (c *engineCapacity) evacuate(dataCentres []string) {
	evacuated := make(map[string]int, len(dataCentres))
	for _, dataCentre := range dataCentres {
		evacuated[dataCentre] = max(c.evacuated[dataCentre], c.listed[dataCentre])
	}
	c.evacuated = evacuated
}

// available returns the part of the nominal capacity that may be used, from 0 to 1.
func (c *engineCapacity) available() float64 {
	available, total := 0, 0
	for dataCentre, engines := range c.listed {
		if _, evacuated := c.evacuated[dataCentre]; !evacuated {
			available += engines
		}
	}
	for _, engines := range c.evacuated {
		total += engines
	}
	total += available
	if total == 0 {
		return 1
	}
	return float64(available) / float64(total)
}

// countEngines returns the number of engines by data centre.
func countEngines(table *catalog.Table, upstreams func(service string) []catalog.Upstream) map[string]int {
	engines := map[string]int{}
	for _, service := range table.Services() {
		if service.Engine == nil {
			continue
		}
		for _, u := range upstreams(service.Name) {
			engines[u.DataCentre]++
		}
	}
	return engines
}

// setCapacity computes the tokens per window that all workspaces may be granted, and the
// part of them in each region.
func (p *pools) setCapacity() {
	p.capacity = p.nominalCapacity * p.engineCapacity.available()
	p.confinement.Parts = p.engineCapacity.regionParts(p.regions)
}
