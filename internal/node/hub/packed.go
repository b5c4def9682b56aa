package hub

import (
	"bytes"
	"compress/flate"
	"encoding/gob"

	"github.com/ansel1/merry/v2"
)

// Packed is a value that is encoded and compressed once and sent to many daemons:
// at the start of a fleet or of a tenure all of them request the complete state.
type Packed[T any] []byte

// Pack encodes and compresses v.
func Pack[T any](v T) (Packed[T], error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if err := gob.NewEncoder(w).Encode(v); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return b.Bytes(), nil
}

// Unpack decodes b.
func (b Packed[T]) Unpack() (v T, err error) {
	r := flate.NewReader(bytes.NewReader(b))
	if err := gob.NewDecoder(r).Decode(&v); err != nil {
		return v, merry.Wrap(err, merry.PrependMessage("holder: bulk"))
	}
	return v, nil
}
