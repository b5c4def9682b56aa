package event

import "fmt"

// maxExcerptBytes holds what this module writes into an error and the beginning of the
// line that it quotes.
const maxExcerptBytes = 256

// Excerpt returns the beginning of a text that may hold bytes of a peer, with the length
// of the text if that is longer. A line of the log quotes it.
func Excerpt(text string) string {
	if len(text) <= maxExcerptBytes {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:maxExcerptBytes], len(text))
}
