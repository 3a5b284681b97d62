package callers

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/zeebo/blake3"

	"comfreyrelay.example/relay/once"
)

// idempotencyHeader is the header that can carry the once key instead of the body.
const idempotencyHeader = "Idempotency-Key"

// requestBody is the body of a request to a model.
type requestBody struct {
	Model          string `json:"model"`
	Adapter        string `json:"adapter"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"maxTokens"`
	Repeatable     bool   `json:"repeatable"`
	DeadlineMillis int64  `json:"deadlineMillis"`
	Key            string `json:"key"`
}

// serviceBody is the body of a call to a plain service.
type serviceBody struct {
	Body           []byte `json:"body"`
	Repeatable     bool   `json:"repeatable"`
	DeadlineMillis int64  `json:"deadlineMillis"`
	Key            string `json:"key"`
}

// decodeRequest decodes and validates the body of a request to a model.
func decodeRequest(raw []byte) (requestBody, *problem) {
	var body requestBody
	if prob := decode(raw, &body); prob != nil {
		return body, prob
	}
	switch {
	case body.Model == "" || len(body.Model) > maxNameBytes:
		return body, invalid("model is empty or too long", "name a model of the document")
	case len(body.Adapter) > maxNameBytes:
		return body, invalid("adapter is too long", "name an adapter of the model, or none")
	case body.MaxTokens < 1 || body.MaxTokens > maxTokensBound:
		return body, invalid("maxTokens is out of range", "send a number from 1 to 32768")
	case body.DeadlineMillis < 0:
		return body, invalid("deadlineMillis is negative", "send the milliseconds from now, or 0 for the default")
	}
	return body, nil
}

// decodeService decodes and validates the body of a call to a plain service.
func decodeService(raw []byte) (serviceBody, *problem) {
	var body serviceBody
	if prob := decode(raw, &body); prob != nil {
		return body, prob
	}
	if body.DeadlineMillis < 0 {
		return body, invalid("deadlineMillis is negative", "send the milliseconds from now, or 0 for the default")
	}
	return body, nil
}

// decode decodes one JSON object and rejects unknown fields and trailing data.
func decode(raw []byte, into any) *problem {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalid("the body is not valid JSON for this request: "+err.Error(), "see the description of the protocol for the fields")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("the body holds more than one JSON value", "send one object")
	}
	return nil
}

// readBody reads the whole request body, up to maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, invalid("the body cannot be read: "+err.Error(), "send the complete body, at most 1 MiB")
	}
	return raw, nil
}

// parseKey returns the once key of a request, from the body if it is there,
// otherwise from the header. given is false if the request has no key.
func parseKey(r *http.Request, inBody string) (key once.Key, given bool, prob *problem) {
	text := inBody
	if text == "" {
		text = r.Header.Get(idempotencyHeader)
	}
	if text == "" {
		return once.Key{}, false, nil
	}
	key, err := once.Parse(text)
	if err != nil {
		return once.Key{}, false, invalid("the once key is malformed",
			"send <owner>.<UUIDv7> with the owner from GET /v1/entries, both in lower case")
	}
	return key, true, nil
}

// contentHash returns the hash of the customer and the content of a request. The
// deadline is not included. Each field is preceded by its length; otherwise two
// requests whose concatenated fields are the same bytes would have the same hash.
func contentHash(customer string, fields ...[]byte) []byte {
	sum := blake3.New()
	var length [8]byte
	for _, field := range append([][]byte{[]byte(customer)}, fields...) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = sum.Write(length[:])
		_, _ = sum.Write(field)
	}
	return sum.Sum(nil)
}
