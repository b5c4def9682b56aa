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
	// chunk holds the used fields of a chat.completion.chunk object.
	chunk struct {
		id string
		// choices is the number of choices; text and finish are those of the
		// first.
		choices      int
		text, finish string
	}

	// chunkDecoder decodes the chunks of one answer.
	chunkDecoder struct {
		d jx.Decoder
		// id is the identifier of the last chunk. All chunks of an answer
		// have the same identifier; keeping it saves an allocation for each
		// token.
		id string
	}
)

// errFallback makes decode fall back to encoding/json.
var errFallback = errors.New("chunk needs encoding/json")

// decode returns the fields of one chunk. It fails if and only if encoding/json
// does. A fast path without reflection handles the usual form. Malformed chunks
// and those that decoders may interpret differently (duplicate names, names in
// another case, surrogates, invalid UTF-8) are decoded by encoding/json.
func (c *chunkDecoder) decode(b []byte) (chunk, error) {
	if utf8.Valid(b) && !bytes.Contains(b, []byte(`\ud`)) && !bytes.Contains(b, []byte(`\uD`)) {
		c.d.ResetBytes(b)
		if ch, err := c.decodeFast(); err == nil {
			return ch, nil
		}
	}
	return decodeGeneric(b)
}

// decodeGeneric decodes a chunk with encoding/json.
func decodeGeneric(b []byte) (chunk, error) {
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
	ch := chunk{id: in.ID, choices: len(in.Choices)}
	if ch.choices > 0 {
		ch.text, ch.finish = in.Choices[0].Delta.Content, in.Choices[0].Finish
	}
	return ch, nil
}

// decodeFast decodes a chunk of the usual form without reflection. It fails for
// any other form.
func (c *chunkDecoder) decodeFast() (chunk, error) {
	var ch chunk
	var seen [2]bool
	err := c.eachField(func(key []byte) error {
		switch i, err := fieldIndex(key, &seen, "id", "choices"); {
		case err != nil:
			return err
		case i == 0:
			b, err := c.d.StrBytes()
			if string(b) != c.id {
				c.id = string(b)
			}
			ch.id = c.id
			return err
		case i == 1:
			return c.choices(&ch)
		}
		return c.d.Skip()
	})
	if err != nil {
		return chunk{}, err
	}
	// Only white space may follow the object.
	if err := c.d.Skip(); !errors.Is(err, io.EOF) {
		return chunk{}, errFallback
	}
	return ch, nil
}

func (c *chunkDecoder) choices(ch *chunk) error {
	it, err := c.d.ArrIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if ch.choices++; ch.choices > 1 {
			return errFallback
		}
		if err := c.choice(ch); err != nil {
			return err
		}
	}
	return it.Err()
}

func (c *chunkDecoder) choice(ch *chunk) error {
	var seen [2]bool
	return c.eachField(func(key []byte) error {
		i, err := fieldIndex(key, &seen, "delta", "finish_reason")
		switch {
		case err != nil:
			return err
		case i == 0:
			var seen [2]bool
			return c.eachField(func(key []byte) error {
				switch i, err := fieldIndex(key, &seen, "content", ""); {
				case err != nil:
					return err
				case i != 0:
					return c.d.Skip()
				}
				return c.stringOrNull(&ch.text)
			})
		case i == 1:
			return c.stringOrNull(&ch.finish)
		}
		return c.d.Skip()
	})
}

// stringOrNull decodes a string into dst. A null leaves *dst unchanged.
func (c *chunkDecoder) stringOrNull(dst *string) (err error) {
	if c.d.Next() == jx.Null {
		return c.d.Null()
	}
	*dst, err = c.d.Str()
	return err
}

// eachField calls f for each field name of an object; f must consume the value.
func (c *chunkDecoder) eachField(f func(key []byte) error) error {
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

// fieldIndex returns the index of key in names, or -1 if it is not there. It
// fails for a name that is repeated or differs only in case, both of which
// encoding/json accepts.
func fieldIndex(key []byte, seen *[2]bool, names ...string) (int, error) {
	for i, n := range names {
		if string(key) == n && n != "" {
			if seen[i] {
				return 0, errFallback
			}
			seen[i] = true
			return i, nil
		}
		if len(key) >= len(n) && n != "" && bytes.EqualFold(key, []byte(n)) {
			return 0, errFallback
		}
	}
	return -1, nil
}
