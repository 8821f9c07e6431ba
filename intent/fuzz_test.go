package intent

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// Guards against a request of another router that makes the owner of a shard panic,
// acts in the name of a third router, or makes the shard unreadable.
func FuzzHandle(f *testing.F) {
	id := Key{Workspace: "w", Service: "order-desk", Key: "k"}
	for kind := opBegin; kind <= opRelease; kind++ {
		for _, holder := range []string{"r1", "r2"} {
			body, err := cbor.Marshal(forwardRequest{
				Kind: kind, TimeoutMs: 500, Outcome: storedOutcome{Status: 200, ContentType: "text/plain", Body: []byte("b")},
				Record: record{Key: id.id(), Holder: holder, Incarnation: 1, CreatedMs: 946684800000, State: stateFinished},
			})
			require.NoError(f, err)
			f.Add(body)
			f.Add(body[:len(body)/2])
		}
	}
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x05, 0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		runTwoRouters(t, false, Options{}, func(t *testing.T, f *fleet, a, b *Store) {
			var request forwardRequest
			decodeErr := cbor.Unmarshal(body, &request)
			_, err := a.Handle(t.Context(), "r1", body)
			if decodeErr != nil || request.Record.Holder != "r1" {
				require.Error(t, err)
				require.Zero(t, f.objects.Counters().Writes)
			}
			// A router that has not read the shard before can use another key of it.
			if decodeErr != nil {
				return
			}
			k := keysOfShard(shardOf(request.Record.Key), 1)[0]
			_, err = b.Begin(t.Context(), k, testRequest)
			require.NotErrorIs(t, err, ErrUnavailable)
			require.NotErrorIs(t, err, ErrFull)
		})
	})
}
