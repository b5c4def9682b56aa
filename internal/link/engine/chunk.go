package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"github.com/go-faster/jx"
)

type (
	// chunk holds the fields of a chat.completion.chunk that are used.
	chunk struct {
		id string
		// choices is their number; text and finish are those of the first.
		choices      int
		text, finish string
	}

	// chunkDecoder decodes the chunks of one answer.
	chunkDecoder struct {
		d jx.Decoder
		// id is the identifier of the last chunk. An answer has only one,
		// which is thus not allocated for each token.
		id string
	}
)

// errUnusual makes decode leave a chunk to encoding/json.
var errUnusual = errors.New("a chunk in an unusual form")

// decode returns the fields of one chunk. It fails exactly if encoding/json
// does. The usual form is read without reflection; whatever could be read in
// two ways (repeated names, names in another case, surrogates, broken UTF-8)
// and every malformed chunk is left to encoding/json.
func (c *chunkDecoder) decode(b []byte) (chunk, error) {
	if utf8.Valid(b) && !bytes.Contains(b, []byte(`\ud`)) && !bytes.Contains(b, []byte(`\uD`)) {
		c.d.ResetBytes(b)
		if k, err := c.usual(); err == nil {
			return k, nil
		}
	}
	return decodeAny(b)
}

// decodeAny decodes a chunk in any form.
func decodeAny(b []byte) (chunk, error) {
	var in struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			Finish string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(b, &in); err != nil {
		return chunk{}, err
	}
	k := chunk{id: in.ID, choices: len(in.Choices)}
	if k.choices > 0 {
		k.text, k.finish = in.Choices[0].Delta.Content, in.Choices[0].Finish
	}
	return k, nil
}

// usual decodes a chunk of the usual form, else it fails.
func (c *chunkDecoder) usual() (chunk, error) {
	var k chunk
	var seen [2]bool
	err := c.object(func(key []byte) error {
		switch i, err := known(key, &seen, "id", "choices"); {
		case err != nil:
			return err
		case i == 0:
			b, err := c.d.StrBytes()
			if string(b) != c.id {
				c.id = string(b)
			}
			k.id = c.id
			return err
		case i == 1:
			return c.choices(&k)
		}
		return c.d.Skip()
	})
	if err != nil {
		return chunk{}, err
	}
	// Nothing but white space may follow.
	if err := c.d.Skip(); !errors.Is(err, io.EOF) {
		return chunk{}, errUnusual
	}
	return k, nil
}

func (c *chunkDecoder) choices(k *chunk) error {
	it, err := c.d.ArrIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if k.choices++; k.choices > 1 {
			return errUnusual
		}
		if err := c.choice(k); err != nil {
			return err
		}
	}
	return it.Err()
}

func (c *chunkDecoder) choice(k *chunk) error {
	var seen [2]bool
	return c.object(func(key []byte) error {
		i, err := known(key, &seen, "delta", "finish_reason")
		switch {
		case err != nil:
			return err
		case i == 0:
			var seen [2]bool
			return c.object(func(key []byte) error {
				switch i, err := known(key, &seen, "content", ""); {
				case err != nil:
					return err
				case i != 0:
					return c.d.Skip()
				}
				return c.text(&k.text)
			})
		case i == 1:
			return c.text(&k.finish)
		}
		return c.d.Skip()
	})
}

// text reads a string or null, which leaves *to as it is.
func (c *chunkDecoder) text(to *string) (err error) {
	if c.d.Next() == jx.Null {
		return c.d.Null()
	}
	*to, err = c.d.Str()
	return err
}

// object calls f for each name of an object; f reads the value.
func (c *chunkDecoder) object(f func(key []byte) error) error {
	it, err := c.d.ObjIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if err := f(it.Key()); err != nil {
			return err
		}
	}
	return it.Err()
}

// known returns which of two names key is, -1 for neither. It fails for a name
// that is repeated or differs only in case, which encoding/json accepts.
func known(key []byte, seen *[2]bool, names ...string) (int, error) {
	for i, n := range names {
		if string(key) == n && n != "" {
			if seen[i] {
				return 0, errUnusual
			}
			seen[i] = true
			return i, nil
		}
		if len(key) >= len(n) && n != "" && bytes.EqualFold(key, []byte(n)) {
			return 0, errUnusual
		}
	}
	return -1, nil
}
