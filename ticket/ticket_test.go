package ticket

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against charging cached prompt tokens at the full price of a prompt token.
func TestCachedTokensCostLess(t *testing.T) {
	usage := Usage{PromptTokens: 100, CachedTokens: 60, GeneratedTokens: 2}
	require.Equal(t, 40*PromptTokenPrice+60*CachedTokenPrice+2*GeneratedTokenPrice, usage.Cost())
}
