// Package answer defines what the stand-ins answer: a function of the version
// and the request alone, so that the caller can check every answer by itself.
package answer

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/blake3"
)

// PrefixBytes is how much of a prompt a prefix cache looks at.
const PrefixBytes = 64

// tokenSpace bounds the numbers that tokens spell, so that tokens stay short.
const tokenSpace = 1 << 40

// numberBase is the base in which a token spells its number.
const numberBase = 36

// hexBase is the base in which contents are written.
const hexBase = 16

// Text is the endless text that one version generates for one prompt.
type Text struct {
	seed uint64
}

// New returns the text of a prompt. The adapter is the adapter's version, ""
// without one.
func New(version, adapter, prompt string) Text {
	digest := xxhash.New()
	for _, part := range []string{version, adapter, prompt} {
		_, _ = digest.WriteString(part) // a hash's Write never fails
		_, _ = digest.Write([]byte{0})
	}
	return Text{seed: digest.Sum64()}
}

// Token returns token i of the text.
func (t Text) Token(i int) string {
	return strconv.FormatUint(mix(t.seed+uint64(i))%tokenSpace, numberBase)
}

// Token returns token i of the text that one version generates for a prompt.
func Token(version, adapter, prompt string, i int) string {
	return New(version, adapter, prompt).Token(i)
}

// Digest returns the BLAKE3, hexadecimal, of the tokens joined by newlines.
func Digest(tokens []string) string {
	hasher := blake3.New()
	for i, token := range tokens {
		if i > 0 {
			_, _ = hasher.Write([]byte{'\n'}) // a hash's Write never fails
		}
		_, _ = hasher.WriteString(token)
	}
	return hex.EncodeToString(hasher.Sum(nil))
}

// Prefix returns the hash under which a prompt's prefix is cached.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Service returns what a plain service answers to a body.
func Service(body []byte) []byte {
	sum := blake3.Sum256(append([]byte("service\n"), body...))
	return []byte(hex.EncodeToString(sum[:]))
}

// Content names what a request to a model asks, whatever ids it bears: a caller
// finds by it every run of one request in the ledgers.
func Content(model, adapter, prompt string) string {
	return formatHash(xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt))
}

// BodyContent is like Content for the body of a call to a plain service.
func BodyContent(body []byte) string {
	return formatHash(xxhash.Sum64(body))
}

func formatHash(hash uint64) string {
	return strconv.FormatUint(hash, hexBase)
}

// mix is the finaliser of splitmix64: neighbours give unrelated numbers.
func mix(n uint64) uint64 {
	n += 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}
