package load

import "time"

// unaryReply is the body of an answer that is not streamed.
type unaryReply struct {
	Outcome   string   `json:"outcome"`
	RequestID string   `json:"requestId"`
	Version   string   `json:"version"`
	Tokens    []string `json:"tokens"`
	Body      []byte   `json:"body"`
}

// replyError is the body of an error response or the data of an error event.
type replyError struct {
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
	Error     struct {
		Kind             string   `json:"kind"`
		Message          string   `json:"message"`
		Remedy           string   `json:"remedy"`
		RetryAfterMillis int64    `json:"retryAfterMillis"`
		Spares           []string `json:"spares"`
	} `json:"error"`
}

// verdict returns notRun only if the reply says so explicitly; any other error is
// unknown.
func (e replyError) verdict() verdict {
	v := verdict{
		outcome:    Unknown,
		detail:     e.Error.Message,
		kind:       e.Error.Kind,
		requestID:  e.RequestID,
		retryAfter: time.Duration(e.Error.RetryAfterMillis) * time.Millisecond,
		spares:     e.Error.Spares,
	}
	if e.Outcome == NotRun {
		v.outcome = NotRun
	}
	if v.kind == "" {
		v.kind = kindMalformed
	}
	return v
}
