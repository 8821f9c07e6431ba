//go:build !race

package member

// fleets are the fleet sizes to test: today's deployments and the target size.
var fleets = []fleet{{"today", 9, 3, 3}, {"target", 390, 2, 7}}
