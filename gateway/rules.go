package gateway

import "github.com/lacewingshift/lacewingshift/eligibility"

// rules returns the rules that decide which upstreams of a service may get a request, in
// the order in which they are checked.
func (p *pools) rules(service string) eligibility.Chain {
	var chain eligibility.Chain
	if p.restricted {
		chain = append(chain, eligibility.Regions{})
	}
	return append(chain, &p.evacuated)
}

// applyRules sets the rules of all pools.
func (p *pools) applyRules() {
	for service, pool := range p.enginePools {
		pool.SetRules(p.rules(service))
	}
	for service, pool := range p.plainPools {
		pool.SetRules(p.rules(service))
	}
}
