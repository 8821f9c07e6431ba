package gateway

import "github.com/lacewingshift/lacewingshift/eligibility"

// rules returns the rules that decide which upstreams of a service may get a request, in
// the order in which they are checked.
func (p *pools) rules(service string) eligibility.Chain {
	var chain eligibility.Chain
	if p.restricted {
		chain = append(chain, eligibility.Regions{})
	}
	chain = append(chain, &p.evacuated)
	if p.cold.limits(service) {
		chain = append(chain, eligibility.Cold{Upstreams: p.cold.table})
	}
	return chain
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
