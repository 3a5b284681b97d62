package document

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"comfreyrelay.example/relay/wire"
)

// Deadlines that apply if the document sets none.
const (
	defaultRequest    = 30 * time.Second
	defaultMaxRequest = 5 * time.Minute
	defaultDrain      = time.Minute
)

// DefaultRequest returns the deadline of requests that specify none.
func DefaultRequest(doc *wire.Document) time.Duration {
	return durationOr(doc.GetDeadlines().GetDefaultRequest(), defaultRequest)
}

// MaxRequest returns the longest deadline that a request may specify.
func MaxRequest(doc *wire.Document) time.Duration {
	return durationOr(doc.GetDeadlines().GetMaxRequest(), defaultMaxRequest)
}

// DrainTimeout returns how long a draining host may take to finish its work.
func DrainTimeout(doc *wire.Document) time.Duration {
	return durationOr(doc.GetDeadlines().GetDrain(), defaultDrain)
}

func durationOr(duration *durationpb.Duration, fallback time.Duration) time.Duration {
	if duration == nil {
		return fallback
	}
	return duration.AsDuration()
}
