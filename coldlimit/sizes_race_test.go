//go:build race

package coldlimit

// fleetSizes are the numbers of routers to test under the race detector, with which 390
// routers take minutes. The simulation uses a single goroutine, so the largest size is
// only tested without the detector.
var fleetSizes = []int{8, 77, 133}
