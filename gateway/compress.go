package gateway

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"

	"github.com/lacewingshift/lacewingshift/fleet"
)

// maxDecompressed bounds what is accepted from another router. The store limits the
// configuration to 1 MB, and 10,000 upstreams take as much.
const maxDecompressed = 4 << 20

// compressed holds the compressed form of one version of a value. A starting fleet
// fetches it from a few routers, so it is made once. It is not safe for concurrent use.
type compressed struct {
	version int64
	data    []byte
}

// get returns the compressed form of a version; encode returns the value.
func (c *compressed) get(version int64, encode func() ([]byte, error)) ([]byte, error) {
	if c.version == version && c.data != nil {
		return c.data, nil
	}
	plain, err := encode()
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	c.version, c.data = version, buffer.Bytes()
	return c.data, nil
}

// decompress returns the value that get compressed. Errors: fleet.ErrMessage.
func decompress(data []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressed+1))
	if err != nil {
		return nil, eris.Wrap(fleet.ErrMessage, err.Error())
	}
	if len(plain) > maxDecompressed {
		return nil, eris.Wrap(fleet.ErrMessage, "value is larger than the limit")
	}
	return plain, nil
}
