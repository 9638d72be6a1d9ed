package worker

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken    = 4
	defaultMaxTokens = 16
	maxMaxTokens     = 1 << 16
)

var words = strings.Fields("motto proof ink plate shield crest ribbon lace fibre knot " +
	"brush wave paper order draft line seal laurel heron oak")

// Answer returns the tokens of a worker's answer to the prompt. A maxTokens of 0 means
// 16.
func Answer(prompt string, maxTokens int) []string {
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	tokens := make([]string, maxTokens)
	seed := xxhash.Sum64String(prompt)
	for i := range tokens {
		tokens[i] = token(seed, i)
	}
	return tokens
}

// token returns the token at a position of the answer. It depends only on the hash of
// the prompt and the position.
func token(seed uint64, position int) string {
	x := seed + uint64(position+1)*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	return words[x%uint64(len(words))] + " "
}

// PromptTokens estimates the number of tokens in a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}
