package callers

import (
	"encoding/json"
	"net/http"
	"strings"

	"comfreyrelay.example/entry/internal/dispatch"
)

// answerBody is the body of an answer that is not streamed. Its JSON is also
// stored for a once key, to be replayed if the key is sent again.
type answerBody struct {
	Outcome   dispatch.Outcome `json:"outcome"`
	RequestID string           `json:"requestId"`
	Version   string           `json:"version,omitempty"`
	Tokens    []string         `json:"tokens,omitempty"`
	Body      []byte           `json:"body,omitempty"`
}

// writeAnswer sends an encoded answerBody.
func writeAnswer(w http.ResponseWriter, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(raw)
}

// replay sends the stored answer of an earlier request with the same key, as a
// stream if the caller asks for one.
func replay(w http.ResponseWriter, r *http.Request, raw []byte) {
	if !wantsStream(r) {
		writeAnswer(w, raw)
		return
	}
	var stored answerBody
	if json.Unmarshal(raw, &stored) != nil {
		writeAnswer(w, raw)
		return
	}
	out := newStream(w, stored.RequestID)
	if len(stored.Tokens) > 0 && out.tokens(stored.Version, stored.Tokens) != nil {
		return
	}
	out.end(stored.Version, dispatch.DigestOf(stored.Tokens), len(stored.Tokens))
}

// wantsStream reports whether the caller accepts server-sent events.
func wantsStream(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept"), "text/event-stream")
}
