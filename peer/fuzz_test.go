package peer

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReadFrame guards against a frame of another router that makes the reader
// panic, exceeds the size limit or changes when it is encoded again.
func FuzzReadFrame(f *testing.F) {
	for _, seed := range []frame{{}, {Part: PartCell, Body: []byte("body")}, {Part: PartEntry, Failed: true}} {
		encoded, err := appendFrame(nil, seed)
		require.NoError(f, err)
		f.Add(encoded)
		f.Add(encoded[:len(encoded)-1])
	}
	f.Add([]byte{0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(first.Body), MaxFrameBytes)
		encoded, err := appendFrame(nil, first)
		require.NoError(t, err)
		second, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}
