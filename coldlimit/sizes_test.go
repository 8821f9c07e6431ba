//go:build !race

package coldlimit

// fleetSizes are the numbers of routers to test.
var fleetSizes = []int{8, 77, 133, 390}
