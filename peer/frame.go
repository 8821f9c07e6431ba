package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/event"
)

// MaxFrameBytes is the maximum encoded size of a message. The largest message is a
// configuration, which the object API limits to 1 MB.
const MaxFrameBytes = 1<<20 + 1<<16

// firstFrameBuffer is the largest buffer that is made for a message before it arrives, in
// bytes.
const firstFrameBuffer = 4 << 10

// frame is one message on a stream, preceded by its encoded length as a varint.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Part Part
	// At is when the frame was sent.
	At   event.Timestamp
	Body []byte
	// Failed is set in an answer whose Body is an error message.
	Failed bool
}

var errMalformedFrame = eris.New("malformed frame")

func appendFrame(dst []byte, f frame) ([]byte, error) {
	encoded, err := cbor.Marshal(f)
	if err != nil {
		return dst, eris.Wrap(err, "encode frame")
	}
	if len(encoded) > MaxFrameBytes {
		return dst, ErrTooLarge
	}
	dst = binary.AppendUvarint(dst, uint64(len(encoded)))
	return append(dst, encoded...), nil
}

func readFrame(r *bufio.Reader) (frame, error) {
	return readAdmittedFrame(r, func(int64) (func(), error) { return func() {}, nil })
}

// readAdmittedFrame reads a frame. admit decides by its size in bytes whether it may be read,
// and returns what has to be called after it was.
func readAdmittedFrame(r *bufio.Reader, admit func(size int64) (func(), error)) (frame, error) {
	var f frame
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return f, err
	}
	if size > MaxFrameBytes {
		return f, ErrTooLarge
	}
	done, err := admit(int64(size))
	if err != nil {
		return f, err
	}
	defer done()
	// A peer may announce more than it sends.
	var encoded bytes.Buffer
	encoded.Grow(int(min(size, firstFrameBuffer)))
	if _, err := io.CopyN(&encoded, r, int64(size)); err != nil {
		return f, err
	}
	if err := cbor.Unmarshal(encoded.Bytes(), &f); err != nil {
		return f, eris.Wrap(errMalformedFrame, err.Error())
	}
	return f, nil
}
