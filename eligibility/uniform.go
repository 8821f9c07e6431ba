package eligibility

// Uniform marks rules that give the same result at all routers for a while, unlike those
// that depend on what one router has sent or seen. Preferences that all routers have to
// share are computed among the upstreams that these rules allow.
type Uniform interface {
	Rule
	// Uniform does nothing.
	Uniform()
}

// UniformRules returns the rules of the chain that are Uniform, in order.
func (c Chain) UniformRules() Chain {
	var uniform Chain
	for _, rule := range c {
		if _, ok := rule.(Uniform); ok {
			uniform = append(uniform, rule)
		}
	}
	return uniform
}
