package callers

import (
	"bytes"
	"testing"
)

// FuzzBodies checks that no body makes the decoders panic, and that the bodies
// they accept are within the limits.
func FuzzBodies(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `null`, `[]`, `{"model":"parcel","maxTokens":1}`, `{"model":"parcel","maxTokens":1}{}`,
		`{"model":"parcel","maxTokens":1e9}`, `{"model":"parcel","maxTokens":-1}`, `{"body":"aGk=","key":"x"}`,
		`{"model":"parcel","prompt":"\u0000\ud800","maxTokens":1,"deadlineMillis":-9223372036854775808}`,
		`{"MODEL":"parcel","maxTokens":2,"maxtokens":3}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, prob := decodeRequest(raw)
		if prob == nil {
			if request.Model == "" || request.MaxTokens < 1 || request.MaxTokens > maxTokensBound || request.DeadlineMillis < 0 {
				t.Errorf("got %+v accepted, want it refused", request)
			}
		}
		if _, prob = decodeService(raw); prob != nil && prob.err.Remedy() == "" {
			t.Error("got no remedy, want one")
		}
	})
}

// Guards against a caller getting the answer to another request: if two requests
// whose concatenated fields are the same bytes had the same hash, they would
// share a stored answer.
func TestContentHashSeparatesFields(t *testing.T) {
	one := contentHash("quetzal", []byte("ab"), []byte("c"))
	for _, other := range [][]byte{
		contentHash("quetzal", []byte("a"), []byte("bc")),
		contentHash("quetza", []byte("lab"), []byte("c")),
		contentHash("quetzal", []byte("ab"), []byte("c"), nil),
	} {
		if bytes.Equal(one, other) {
			t.Error("got one hash for two requests, want two")
		}
	}
}
