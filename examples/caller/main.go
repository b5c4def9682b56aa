// Command caller sends a chat completion request with the OpenAI Go client and
// prints the response as it is streamed. With -key it prints a new idempotency
// key instead.
//
//	caller [-base URL] [-model NAME] [-class urgent|background] [-deadline 30s] [TEXT]
//	caller -key
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// maxTokens is the maximum length of the response.
const maxTokens = 20

func main() {
	base := flag.String("base", "http://127.0.0.1:18080/v1/", "address of a daemon's caller listener, with /v1/")
	model := flag.String("model", "tray-harvest-8b", "model or adapter")
	class := flag.String("class", "urgent", "urgent or background")
	deadline := flag.Duration("deadline", 30*time.Second, "time in which the whole answer must arrive")
	key := flag.Bool("key", false, "print a new idempotency key and stop")
	flag.Parse()
	if *key {
		fmt.Println(ulid.Make())
		return
	}
	text := strings.Join(flag.Args(), " ")
	if text == "" {
		text = "When are figs ripe?"
	}
	if err := ask(*base, *model, *class, *deadline, text); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

// ask sends text and prints the response. A refusal is a problem document with an
// error member in the format of the OpenAI API, whose code is the kind listed in
// docs/refusals.md.
func ask(base, model, class string, deadline time.Duration, text string) error {
	// Retries of the client are disabled: refusals state in Retry-After when a
	// retry is useful.
	client := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey("unused"), option.WithMaxRetries(0),
		option.WithHeader("Azurespan-Class", class),
		option.WithHeader("Azurespan-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10)))
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(maxTokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	})
	for stream.Next() {
		if c := stream.Current().Choices; len(c) > 0 {
			fmt.Print(c[0].Delta.Content)
		}
	}
	fmt.Println()
	var refusal *openai.Error
	if errors.As(stream.Err(), &refusal) {
		return fmt.Errorf("refused with %s, retry after %q s: %w", refusal.Code, refusal.Response.Header.Get("Retry-After"), refusal)
	}
	return stream.Err()
}
