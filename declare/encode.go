package declare

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Encode writes d as indented JSON with kebab-case keys.
func (d *Deployment) Encode(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(d)
}

// Decode reads a Deployment written by Encode. It rejects unknown keys and
// trailing data, and does not validate.
func Decode(b []byte) (*Deployment, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	d := new(Deployment)
	if err := dec.Decode(d); err != nil {
		return nil, &Problem{Kind: BadSyntax, Detail: err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &Problem{Kind: BadSyntax, Detail: "data after the configuration"}
	}
	return d, nil
}
