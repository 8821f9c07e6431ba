//go:build race

package soak

// raceFlags builds the routers with the race detector, as this test is.
var raceFlags = []string{"-race"}
