// Package fake implements fakes of the systems around the fleet: model engines,
// plain services, the object API, the host list, and the network links between
// hosts. Each fake is an http.Handler and can also be used in-process. GET
// /control returns its state, and POST /control injects faults.
package fake
