// Package answer computes the responses of the simulated endpoints. A response
// depends only on the version and the request, so that the load generator can
// verify every answer on its own.
package answer

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/blake3"
)

// PrefixBytes is the length of the prompt prefix that the prefix cache uses as key.
const PrefixBytes = 64

// tokenSpace limits the numbers that tokens encode, so that tokens stay short.
const tokenSpace = 1 << 40

// numberBase is the base in which a token encodes its number.
const numberBase = 36

// hexBase is the base in which content hashes are formatted.
const hexBase = 16

// Text is the unbounded sequence of tokens that a version generates for a prompt.
type Text struct {
	seed uint64
}

// New returns the text for a prompt. adapter is the adapter's version, or "" if
// none is used.
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

// Token returns token i of the text that a version generates for a prompt.
func Token(version, adapter, prompt string, i int) string {
	return New(version, adapter, prompt).Token(i)
}

// Digest returns the hexadecimal BLAKE3 hash of the tokens joined by newlines.
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

// Prefix returns the hash of the prompt's prefix, the key of the prefix cache.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// Service returns a plain service's response to a body.
func Service(body []byte) []byte {
	sum := blake3.Sum256(append([]byte("service\n"), body...))
	return []byte(hex.EncodeToString(sum[:]))
}

// Content returns a hash of a model request without its ids. The load generator
// uses it to find every run of one request in the ledgers.
func Content(model, adapter, prompt string) string {
	return formatHash(xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt))
}

// BodyContent is the equivalent of Content for the body of a plain service call.
func BodyContent(body []byte) string {
	return formatHash(xxhash.Sum64(body))
}

func formatHash(hash uint64) string {
	return strconv.FormatUint(hash, hexBase)
}

// mix is the finalizer of splitmix64, which maps adjacent inputs to unrelated
// numbers.
func mix(n uint64) uint64 {
	n += 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}
