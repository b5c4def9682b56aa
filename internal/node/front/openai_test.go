package front

import (
	"context"
	"errors"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"
)

// TestOpenAIClient guards against responses that the OpenAI client can't decode.
func TestOpenAIClient(t *testing.T) {
	b := &fakeBackend{}
	_, base := serve(t, Settings{}, b)
	c := openai.NewClient(option.WithBaseURL(base+"/v1/"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:    "fig-7b-trays",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("Be short."), openai.UserMessage("Ready?")},
	}
	complete, err := c.Chat.Completions.New(context.Background(), params)
	must.NoError(t, err)
	must.Eq(t, "Fig trays ready.", complete.Choices[0].Message.Content)
	must.Eq(t, "stop", complete.Choices[0].FinishReason)
	must.Eq(t, "fig-7b-trays", b.lastRequest().Adapter)

	s := c.Chat.Completions.NewStreaming(context.Background(), params)
	acc := openai.ChatCompletionAccumulator{}
	for s.Next() {
		must.True(t, acc.AddChunk(s.Current()))
	}
	must.NoError(t, s.Err())
	must.Eq(t, "Fig trays ready.", acc.Choices[0].Message.Content)
	must.Eq(t, "assistant", string(acc.Choices[0].Message.Role))
	must.Eq(t, "stop", acc.Choices[0].FinishReason)

	models, err := c.Models.List(context.Background())
	must.NoError(t, err)
	must.Eq(t, []string{"fig-7b", "fig-7b-trays"}, []string{models.Data[0].ID, models.Data[1].ID})

	params.Model = "plum-3b"
	_, err = c.Chat.Completions.New(context.Background(), params)
	var refusal *openai.Error
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, 404, refusal.StatusCode)
	must.Eq(t, "unknown-model", refusal.Code)
}
