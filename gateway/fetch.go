package gateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/fleet"
	"github.com/lacewingshift/lacewingshift/peer"
	"github.com/lacewingshift/lacewingshift/versioned"
)

// item is what a router fetches from another one.
type item string

// Items that a router can fetch.
const (
	itemConfig    item = "config"
	itemUpstreams item = "upstreams"
	// itemEvacuations asks for the evacuated data centres. Only routers whose reports
	// state their version know it.
	itemEvacuations item = "evacuations"
	// itemVersions asks for the versions that the other router holds. The response
	// was made after the request, which a report that arrives need not be.
	itemVersions item = "versions"
)

// Kinds of responses to fetches, for the metric of bytes that are sent to other routers.
const (
	kindConfig    fleet.Kind = "fetch_config"
	kindChanges   fleet.Kind = "fetch_upstream_changes"
	kindUpstreams fleet.Kind = "fetch_upstreams"
	kindVersions  fleet.Kind = "fetch_versions"

	kindEvacuations fleet.Kind = "fetch_evacuations"
)

// fetchRequest is the wire form of a request for the newest version of an item.
type fetchRequest struct {
	Item item `cbor:"1,keyasint"`
	// Since is the version that the sender holds.
	Since int64 `cbor:"2,keyasint,omitempty"`
}

// upstreamsResponse is the wire form of a roster: what has changed since the version
// in the request, or all upstreams.
type upstreamsResponse struct {
	Version int64             `cbor:"1,keyasint"`
	Change  *versioned.Change `cbor:"2,keyasint,omitempty"`
	// Whole is the compressed encoding of all upstreams.
	Whole []byte `cbor:"3,keyasint,omitempty"`
}

// versionsResponse is the wire form of the versions that a router holds.
type versionsResponse struct {
	Config    int64 `cbor:"1,keyasint"`
	Upstreams int64 `cbor:"2,keyasint"`
	// Evacuations is missing in a deployment without them.
	Evacuations int64 `cbor:"3,keyasint,omitempty"`
}

// confirmTimeout bounds one question to another router after a pause.
const confirmTimeout = 300 * time.Millisecond

// fetchNewer fetches newer versions from the sender of a report, unless this
// router's own watch is about to deliver them. periodic is false for a report that
// has just arrived; it triggers no fetch from another region, because a router of
// this region is likely to have the version soon.
func (x *exchange) fetchNewer(now time.Time, r *fleet.Report, periodic bool) {
	x.feed.LearnVersion(r.UpstreamsVersion)
	watching := x.storeAge(now) < freshWatch
	x.fetchNewerEvacuations(r, periodic || !watching)
	if !periodic && (watching || r.Region != x.region) {
		return
	}
	if r.ConfigVersion > x.config.Get().Version {
		x.fetch(r.Host, itemConfig)
	}
	if r.UpstreamsVersion > x.upstreams.Get().Version && !watching {
		x.fetch(r.Host, itemUpstreams)
	}
}

// fetch fetches an item in the background unless a fetch of it is in progress.
func (x *exchange) fetch(host string, what item) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching[what] || x.ctx.Err() != nil {
		return
	}
	x.fetching[what] = true
	go func() {
		if err := x.fetchFrom(host, what); err != nil {
			x.logger.Warn("fetching a newer version failed", "what", what, "host", host, "err", err)
		}
		x.mu.Lock()
		delete(x.fetching, what)
		x.mu.Unlock()
	}()
}

func (x *exchange) fetchFrom(host string, what item) error {
	switch what {
	case itemUpstreams:
		return x.fetchUpstreams(host)
	case itemEvacuations:
		return x.fetchEvacuations(host)
	}
	body, err := x.callFetch(host, fetchRequest{Item: what}, fetchTimeout)
	if err != nil {
		return err
	}
	spec, err := decompress(body)
	if err != nil {
		return err
	}
	return x.feed.UpdateConfig(time.Now(), spec, versioned.Peer)
}

// fetchUpstreams fetches what has changed since this router's roster, and the whole
// roster if that does not fit.
func (x *exchange) fetchUpstreams(host string) error {
	current := x.upstreams.Get()
	response, err := x.callFetchUpstreams(host, current.Version)
	if err != nil {
		return err
	}
	if response.Change != nil && current.Value != nil {
		changed, err := current.Value.Apply(*response.Change)
		if err == nil {
			x.feed.UpdateUpstreams(time.Now(), changed, response.Version, versioned.Peer)
			return nil
		}
		x.logger.Warn("applying changed upstreams failed, fetching all", "host", host, "since", current.Version, "version", response.Version, "err", err)
		if response, err = x.callFetchUpstreams(host, 0); err != nil {
			return err
		}
	}
	encoded, err := decompress(response.Whole)
	if err != nil {
		return err
	}
	var all []catalog.Upstream
	if err := cbor.Unmarshal(encoded, &all); err != nil {
		return eris.Wrap(fleet.ErrMessage, err.Error())
	}
	x.feed.UpdateUpstreams(time.Now(), versioned.NewRoster(all), response.Version, versioned.Peer)
	return nil
}

func (x *exchange) callFetchUpstreams(host string, since int64) (upstreamsResponse, error) {
	var response upstreamsResponse
	body, err := x.callFetch(host, fetchRequest{Item: itemUpstreams, Since: since}, fetchTimeout)
	if err != nil {
		return response, err
	}
	if err := cbor.Unmarshal(body, &response); err != nil {
		return response, eris.Wrap(fleet.ErrMessage, err.Error())
	}
	if response.Change == nil && response.Whole == nil {
		return response, eris.Wrap(fleet.ErrMessage, "response has no upstreams")
	}
	return response, nil
}

func (x *exchange) callFetch(host string, request fetchRequest, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	defer cancel()
	encoded, err := cbor.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode fetch request")
	}
	return x.transport.Call(ctx, host, peer.PartFleet, encoded)
}

// serveFetch answers other routers that fetch a newer version.
func (x *exchange) serveFetch(_ context.Context, host string, body []byte) ([]byte, error) {
	var request fetchRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(fleet.ErrMessage, err.Error())
	}
	response, kind, err := x.fetchResponse(request)
	if err != nil {
		return nil, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sentBytes(kind, x.table.Distance(host), len(response))
	return response, nil
}

// fetchResponse returns the encoded response to a fetch and its kind.
func (x *exchange) fetchResponse(request fetchRequest) ([]byte, fleet.Kind, error) {
	switch request.Item {
	case itemConfig:
		response, err := x.configResponse()
		return response, kindConfig, err
	case itemUpstreams:
		return x.upstreamsResponse(request.Since)
	case itemEvacuations:
		response, err := x.evacuationsResponse()
		return response, kindEvacuations, err
	case itemVersions:
		response, err := cbor.Marshal(versionsResponse{Config: x.config.Get().Version, Upstreams: x.upstreams.Get().Version, Evacuations: x.evacuations.version()})
		return response, kindVersions, err
	default:
		return nil, "", eris.Errorf("item %q is not known", request.Item)
	}
}

// configResponse returns the compressed configuration.
func (x *exchange) configResponse() ([]byte, error) {
	current := x.config.Get()
	if current.Version == 0 {
		return nil, eris.New("no configuration known")
	}
	x.wholeMu.Lock()
	defer x.wholeMu.Unlock()
	return x.wholeConfig.get(current.Version, func() ([]byte, error) { return current.Value.Spec, nil })
}

// upstreamsResponse returns the encoded changes of the upstreams since a version, or
// all upstreams if the history does not go back that far.
func (x *exchange) upstreamsResponse(since int64) ([]byte, fleet.Kind, error) {
	x.mu.Lock()
	roster, version := x.history.Latest()
	change, ok := x.history.Since(since)
	x.mu.Unlock()
	if roster == nil {
		return nil, "", eris.New("no upstreams known")
	}
	if ok {
		response, err := cbor.Marshal(upstreamsResponse{Version: version, Change: &change})
		return response, kindChanges, err
	}
	x.wholeMu.Lock()
	defer x.wholeMu.Unlock()
	whole, err := x.wholeRoster.get(version, func() ([]byte, error) { return cbor.Marshal(roster.All()) })
	if err != nil {
		return nil, "", eris.Wrap(err, "encode upstreams")
	}
	response, err := cbor.Marshal(upstreamsResponse{Version: version, Whole: whole})
	return response, kindUpstreams, err
}

// confirmVersions asks a live router, the nearest one first, which versions it holds,
// and fetches newer ones from it.
func (x *exchange) confirmVersions() {
	x.mu.Lock()
	reports := x.table.Reports(time.Now())
	x.mu.Unlock()
	x.sortByDistance(reports)
	for _, r := range reports {
		err := x.confirmWith(r.Host)
		if err == nil {
			x.guardMu.Lock()
			x.guard.Confirm()
			x.guardMu.Unlock()
			x.logger.Info("versions confirmed after a pause", "host", r.Host, "config", x.config.Get().Version, "upstreams", x.upstreams.Get().Version)
			return
		}
		x.logger.Warn("confirming versions after a pause failed", "host", r.Host, "err", err)
	}
}

func (x *exchange) confirmWith(host string) error {
	body, err := x.callFetch(host, fetchRequest{Item: itemVersions}, confirmTimeout)
	if err != nil {
		return err
	}
	var held versionsResponse
	if err := cbor.Unmarshal(body, &held); err != nil {
		return eris.Wrap(fleet.ErrMessage, err.Error())
	}
	if err := x.confirmEvacuationsVersion(host, held.Evacuations); err != nil {
		return err
	}
	if held.Config > x.config.Get().Version {
		if err := x.fetchFrom(host, itemConfig); err != nil {
			return err
		}
	}
	if held.Upstreams > x.upstreams.Get().Version {
		return x.fetchFrom(host, itemUpstreams)
	}
	return nil
}
