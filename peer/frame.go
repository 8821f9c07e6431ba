package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/event"
)

// MaxFrameBytes is the maximum encoded size of a message. The largest message is a
// configuration, which the object API limits to 1 MB.
const MaxFrameBytes = 1<<20 + 1<<16

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
	var f frame
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return f, err
	}
	if size > MaxFrameBytes {
		return f, ErrTooLarge
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return f, err
	}
	if err := cbor.Unmarshal(encoded, &f); err != nil {
		return f, eris.Wrap(errMalformedFrame, err.Error())
	}
	return f, nil
}
