package front

import (
	"testing"

	"github.com/go-faster/jx"
	"github.com/shoenig/test/must"

	"github.com/azurespan/azurespan/internal/api/oas"
)

// TestSharedParts guards against messages that are taken for shared though they end
// the prompt, and against different parts for the same message in two prompts.
func TestSharedParts(t *testing.T) {
	message := func(role oas.ChatMessageRole, content string) oas.ChatMessage {
		return oas.ChatMessage{Role: role, Content: jx.Raw(content)}
	}
	system, question := message("system", "You dry figs."), message("user", "How long?")
	must.SliceEmpty(t, sharedParts([]oas.ChatMessage{question}))
	one := sharedParts([]oas.ChatMessage{system, question})
	must.Len(t, 1, one)
	must.Eq(t, one, sharedParts([]oas.ChatMessage{system, message("user", "How hot?")}))
	must.NotEq(t, one, sharedParts([]oas.ChatMessage{message("user", "You dry figs."), question}))
	long := make([]oas.ChatMessage, 3*maxSharedParts)
	must.Len(t, maxSharedParts, sharedParts(long))
}
