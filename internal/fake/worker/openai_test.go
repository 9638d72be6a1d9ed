package worker

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestOpenAIClient checks that the stand-in works with the published OpenAI client
// library.
func TestOpenAIClient(t *testing.T) {
	g := NewWithT(t)
	w := New(Config{Name: "a1", Model: "draft", Warm: true})
	defer w.Close()
	server := httptest.NewServer(w)
	defer server.Close()
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey("none"))
	params := openai.ChatCompletionNewParams{
		Model:     "draft",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a motto")},
		MaxTokens: openai.Int(8),
	}
	want := strings.Join(Answer(ChatPrompt("user", "a motto"), 8), "")

	answer, err := client.Chat.Completions.New(t.Context(), params)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Choices[0].Message.Content).To(Equal(want))
	g.Expect(answer.Usage.CompletionTokens).To(BeEquivalentTo(8))

	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		g.Expect(streamed.AddChunk(stream.Current())).To(BeTrue())
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(streamed.Choices[0].Message.Content).To(Equal(want))
	g.Expect(streamed.Usage.TotalTokens).To(Equal(answer.Usage.TotalTokens))
}
