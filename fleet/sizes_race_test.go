//go:build race

package fleet

// suspectFleets are the fleet sizes to test under the race detector, with which 390
// routers take minutes. The simulation uses a single goroutine, so the target size is
// only tested without the detector.
var suspectFleets = []fleetSize{{9, 3}, {95, 6}}
