package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary contains the words that responses consist of.
var vocabulary = []string{
	"slot", "feed", "morning", "cart", "dung", "crop", "waste", "digester",
	"gas", "block", "village", "frame", "paper", "wire", "silk", "lamp",
}

// Token returns the token at a position of the response to a prompt. It depends on its
// arguments only, so that all engines generate the same response and a resumed
// response can be compared with an uninterrupted one.
func Token(model, prompt string, position int) string {
	h := xxhash.Sum64String(model + "\x00" + prompt + "\x00" + strconv.Itoa(position))
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

// ModelAt returns the argument of Token and Answer for a model at engines of a software version, as
// different versions generate different responses.
func ModelAt(model, software string) string {
	if software == "" {
		return model
	}
	return model + "@" + software
}

// OutputTokens returns the length of the response to a prompt in tokens. A prompt that
// contains "tokens=N" gets N tokens, any other between 8 and 39. Both are limited to
// limit.
func OutputTokens(prompt string, limit int) int {
	n := 8 + int(xxhash.Sum64String(prompt)%32)
	if _, rest, ok := strings.Cut(prompt, "tokens="); ok {
		digits := strings.TrimRight(strings.SplitN(rest, " ", 2)[0], ".,;")
		if v, err := strconv.Atoi(digits); err == nil {
			n = v
		}
	}
	return min(n, limit)
}

// Answer returns the complete response to a prompt.
func Answer(model, prompt string, limit int) string {
	var b strings.Builder
	for i := range OutputTokens(prompt, limit) {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt: one per four bytes, rounded up.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }
