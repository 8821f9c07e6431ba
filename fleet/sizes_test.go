//go:build !race

package fleet

// suspectFleets are the fleet sizes to test.
var suspectFleets = []fleetSize{{9, 3}, {95, 6}, {390, 7}}
