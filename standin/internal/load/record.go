package load

import (
	"encoding/json"
	"io"
	"sync"
)

// Entry is the caller's record of one request. Tests match it by request ID with
// the ledgers of the endpoints.
type Entry struct {
	ID        int    `json:"id"`
	RequestID string `json:"requestId"`
	Key       string `json:"key,omitempty"`
	// Content identifies the request's content in the same way as the endpoints' ledgers.
	Content    string `json:"content"`
	Customer   string `json:"customer"`
	Service    string `json:"service,omitempty"`
	Repeatable bool   `json:"repeatable"`
	Outcome    string `json:"outcome"`
	Detail     string `json:"detail,omitempty"`
	Version    string `json:"version,omitempty"`
	Tokens     int    `json:"tokens"`
	Attempts   int    `json:"attempts"`
	Millis     int64  `json:"millis"`
	// Address is the entry that the last attempt was sent to, and EndedAt is the
	// time of the outcome in Unix milliseconds. Together they show whether a killed
	// entry explains a cut-off answer.
	Address string `json:"address,omitempty"`
	EndedAt int64  `json:"endedAt"`
}

// recordWriter writes one JSON line per request.
type recordWriter struct {
	mu  sync.Mutex
	out *json.Encoder // nil if no record is written
	err error         // of the first failed write
}

func newRecordWriter(out io.Writer) *recordWriter {
	if out == nil {
		return &recordWriter{}
	}
	return &recordWriter{out: json.NewEncoder(out)}
}

func (l *recordWriter) write(entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil || l.err != nil {
		return
	}
	l.err = l.out.Encode(entry)
}

// failed returns the error of the first failed write, or nil.
func (l *recordWriter) failed() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}
