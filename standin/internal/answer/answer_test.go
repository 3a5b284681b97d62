package answer

import (
	"strings"
	"testing"
)

func TestTokenDependsOnEachPart(t *testing.T) {
	base := Token("v1", "", "prompt", 0)
	others := map[string]string{
		"version":  Token("v2", "", "prompt", 0),
		"adapter":  Token("v1", "a1", "prompt", 0),
		"prompt":   Token("v1", "", "prompt2", 0),
		"position": Token("v1", "", "prompt", 1),
		"border":   Token("v1p", "", "rompt", 0),
	}
	for part, other := range others {
		if other == base {
			t.Errorf("%s: got the same token %q, want another", part, other)
		}
	}
	if again := Token("v1", "", "prompt", 0); again != base {
		t.Errorf("the same request: got %q, want %q", again, base)
	}
}

func TestPrefixIsTheFirstBytes(t *testing.T) {
	prefix := strings.Repeat("p", PrefixBytes)
	if got, want := Prefix(prefix+"more"), Prefix(prefix); got != want {
		t.Errorf("longer prompt: got %d, want %d", got, want)
	}
	if got := Prefix(prefix[1:]); got == Prefix(prefix) {
		t.Errorf("shorter prompt: got the same prefix %d, want another", got)
	}
}

func TestDigestIsOverTheJoinedTokens(t *testing.T) {
	if got, want := Digest([]string{"a", "b"}), Digest([]string{"a\nb"}); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := Digest([]string{"ab"}); got == Digest([]string{"a", "b"}) {
		t.Error("tokens without the newline: got the same digest, want another")
	}
}
