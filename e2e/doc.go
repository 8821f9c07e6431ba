// Package e2e contains end-to-end tests. They run a whole deployment of processes,
// some of which are killed, frozen, cut off from the network or replaced. P3 to P8 in
// comments are the numbers of promises that the fleet makes.
package e2e
