package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzReceive guards against messages that make a node panic, change the record of
// its own router, or make it send more than fits into one datagram.
func FuzzReceive(f *testing.F) {
	s := newSim(1, 4, 2, 2)
	s.onOutput = func(_ *simRouter, out Output) {
		for _, m := range out.Send {
			if s.seq%7 == 0 {
				f.Add(m.Body)
			}
		}
	}
	s.startAll(time.Second)
	s.run(4 * time.Second)
	f.Add([]byte{})
	f.Add(encode(message{Kind: kindSync, Incarnation: maxIncarnation, Buckets: make([]byte, bucketCount*4)}))
	f.Add(encode(message{Kind: kindRecords, Records: []Member{{Host: "router-000", Incarnation: maxIncarnation, State: Left}}}))
	f.Add(encode(message{Kind: kindIndirectProbe, About: "router-002"}))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newSim(1, 4, 2, 2)
		s.startAll(time.Second)
		s.run(2 * time.Second)
		node := s.routers["router-000"].node
		before := node.self
		outs := []Output{node.Step(s.now, Receive{"router-001", body}), node.Step(s.now, Receive{"stranger", body})}
		for i := range 5 {
			outs = append(outs, node.Step(s.now.Add(time.Duration(i)*time.Second), Tick{}))
		}
		before.Incarnation = node.self.Incarnation
		require.Equal(t, before, node.self)
		for _, out := range outs {
			for _, m := range out.Send {
				_, err := decode(m.Body)
				require.NoError(t, err)
				require.LessOrEqual(t, len(m.Body), maxBodyBytes+800, "only a single record with names of the maximum length may exceed a datagram")
			}
		}
	})
}
