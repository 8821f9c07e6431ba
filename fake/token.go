package fake

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tokenVocabulary is the number of distinct tokens.
const tokenVocabulary = 50_000

// promptBytesPerToken is the size of a prompt token, about the average for English
// text.
const promptBytesPerToken = 4

func tokenHash(seed uint64, index int) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], seed)
	binary.LittleEndian.PutUint64(buf[8:], uint64(index))
	return xxhash.Sum64(buf[:])
}

// Token returns the generated token at the zero-based index for seed.
func Token(seed uint64, index int) string {
	return strconv.FormatUint(tokenHash(seed, index)%tokenVocabulary, 36) + " "
}

// CompletionText returns the first length tokens for seed.
func CompletionText(seed uint64, length int) string {
	var b strings.Builder
	for i := range length {
		b.WriteString(Token(seed, i))
	}
	return b.String()
}

// Length returns the number of tokens generated for seed if the request gives no
// length. It is between a quarter of maxTokens and maxTokens.
func Length(seed uint64, maxTokens int) int {
	lowest := (maxTokens + 3) / 4
	return lowest + int(tokenHash(seed, -1)%uint64(maxTokens-lowest+1))
}

// PromptTokens returns the number of tokens of prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + promptBytesPerToken - 1) / promptBytesPerToken
}
