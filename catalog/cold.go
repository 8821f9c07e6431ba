package catalog

import "time"

// ColdMargin is added to the time for which an upstream says that it stays cold. Reports
// of the same end that arrive with different delays then need not be told apart, and no
// router counts an upstream as warm too early.
const ColdMargin = 300 * time.Millisecond

// ColdLimits says what the upstreams of a service can do while they are cold.
type ColdLimits struct {
	// Start is the time for which an upstream that started during traffic is cold.
	Start time.Duration
	// PerSecond is the rate of requests that a cold upstream can handle, from all
	// routers together.
	PerSecond float64
}

// ColdReport is what the entry of an upstream says about its being cold. The zero value
// says that it is warm.
type ColdReport struct {
	// ColdLeftMs is for how long the upstream stays cold, in milliseconds, counted from
	// when a router first receives the report.
	ColdLeftMs int64 `cbor:"8,keyasint,omitempty"`
	// ColdVersion is the version of the list with which ColdLeftMs was read. Another
	// one starts the time again.
	ColdVersion int64 `cbor:"9,keyasint,omitempty"`
	// WarmVersion is a version of the list at which the upstream was warm before; 0 if
	// none is known. Permits with a lower version belong to earlier cold periods.
	WarmVersion int64 `cbor:"10,keyasint,omitempty"`
}

// Left returns for how long the upstream counts as cold from the receipt of the report.
func (r ColdReport) Left() time.Duration {
	if r.ColdLeftMs <= 0 {
		return 0
	}
	return time.Duration(r.ColdLeftMs)*time.Millisecond + ColdMargin
}
