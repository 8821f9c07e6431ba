//go:build race

package member

// fleets are the fleet sizes to test under the race detector, with which 390
// routers take eight minutes. The simulation uses a single goroutine, so the
// target size is only tested without the detector.
var fleets = []fleet{{"today", 9, 3, 3}, {"middle", 60, 2, 7}}
