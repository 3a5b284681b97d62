package document

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"comfreyrelay.example/relay/wire"
)

// Deadlines that apply if the document sets none.
const (
	defaultRequest = 30 * time.Second
	defaultMax     = 5 * time.Minute
	defaultDrain   = time.Minute
)

// DefaultRequest returns the deadline of requests that specify none.
func DefaultRequest(doc *wire.Document) time.Duration {
	return lengthOr(doc.GetDeadlines().GetDefaultRequest(), defaultRequest)
}

// MaxRequest returns the longest deadline that a request may specify.
func MaxRequest(doc *wire.Document) time.Duration {
	return lengthOr(doc.GetDeadlines().GetMaxRequest(), defaultMax)
}

// DrainTimeout returns how long a draining host may take to finish its work.
func DrainTimeout(doc *wire.Document) time.Duration {
	return lengthOr(doc.GetDeadlines().GetDrain(), defaultDrain)
}

func lengthOr(length *durationpb.Duration, otherwise time.Duration) time.Duration {
	if length == nil {
		return otherwise
	}
	return length.AsDuration()
}
