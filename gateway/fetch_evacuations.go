package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// evacuationsTimeout bounds one fetch of the evacuations. It is shorter than that of other
// items: if the nearest router has just ended, another one is to be asked in time.
const evacuationsTimeout = 400 * time.Millisecond

// evacuationsResponse is the wire form of the evacuated data centres.
type evacuationsResponse struct {
	Version     int64    `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint,omitempty"`
	// Retained holds those that a restored store lacks and that stay in force for RetainedMs
	// milliseconds.
	Retained   []string `cbor:"3,keyasint,omitempty"`
	RetainedMs int64    `cbor:"4,keyasint,omitempty"`
}

// followEvacuations makes confirmations of the store count only if they cover the
// evacuations.
func (x *exchange) followEvacuations() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.FollowEvacuations()
}

// fetchNewerEvacuations fetches newer evacuations from the sender of a report, of
// whatever region, unless this router's own watch is about to deliver them. The response
// is small, and an evacuation must not wait for a nearer router.
func (x *exchange) fetchNewerEvacuations(r *fleet.Report, ownWatchLate bool) {
	if x.evacuations != nil && ownWatchLate && r.EvacuationsVersion > x.evacuations.version() {
		x.fetch(r.Host, itemEvacuations)
	}
}

// fetchEvacuations fetches the evacuated data centres from another router.
func (x *exchange) fetchEvacuations(host string) error {
	body, err := x.callFetch(host, fetchRequest{Item: itemEvacuations}, evacuationsTimeout)
	if err != nil {
		return err
	}
	var response evacuationsResponse
	if err := cbor.Unmarshal(body, &response); err != nil {
		return eris.Wrap(fleet.ErrMessage, err.Error())
	}
	now := time.Now()
	x.evacuations.restore.adopt(now, response.Retained, time.Duration(response.RetainedMs)*time.Millisecond)
	x.evacuations.latest.Update(versioned.NewEvacuations(response.DataCentres...), response.Version, versioned.Peer, now)
	x.evacuations.apply(now) // before the caller takes them for confirmed
	return nil
}

// evacuationsResponse returns the encoded evacuations.
func (x *exchange) evacuationsResponse() ([]byte, error) {
	if x.evacuations.version() == 0 {
		return nil, eris.New("no evacuations known")
	}
	current := x.evacuations.latest.Get()
	response := evacuationsResponse{Version: current.Version, DataCentres: current.Value.Names()}
	if retained, left := x.evacuations.restore.retained(time.Now()); len(retained) > 0 {
		response.Retained, response.RetainedMs = retained, left.Milliseconds()
	}
	return cbor.Marshal(response)
}
