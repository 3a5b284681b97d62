package load

import (
	"encoding/json"
	"io"
	"sync"
)

// Entry is the caller's record of one request, to be matched with the ledgers
// of the back ends by request id.
type Entry struct {
	ID        int    `json:"id"`
	RequestID string `json:"requestId"`
	Key       string `json:"key,omitempty"`
	// Content names what was asked as the back ends' ledgers do.
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
	// Address is that of the entry which the last attempt went to, EndedAt the
	// moment of the outcome in Unix milliseconds: an entry that was killed then
	// explains an answer without an end.
	Address string `json:"address,omitempty"`
	EndedAt int64  `json:"endedAt"`
}

// ledger writes one line a request.
type recordWriter struct {
	mu  sync.Mutex
	out *json.Encoder // nil where none is wanted
	err error         // of the first write that failed
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

func (l *recordWriter) failed() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}
