//go:build !race

package soak

// raceFlags builds the routers without the race detector, as this test is.
var raceFlags []string
