package gate

import "time"

// Reasons in refused and broken frames.
const (
	reasonOtherIncarnation = "otherIncarnation"
	reasonInvalid          = "invalid"
	reasonCancelled        = "cancelled"
	reasonDuplicate        = "duplicate"
	reasonBegunBefore      = "begunBefore"
	reasonMemoryFull       = "memoryFull"
	reasonLeaving          = "leaving"
	reasonDraining         = "draining"
	reasonNotLoaded        = "notLoaded"
	reasonNotAllowed       = "notAllowed"
	reasonDeadline         = "deadline"
	reasonBusy             = "busy"
	reasonUnreachable      = "endpointUnreachable"
	reasonVersionChanged   = "versionChanged"
	reasonStreamBroken     = "streamBroken"
	reasonStopped          = "stopped"
	reasonEndpointFailed   = "endpointFailed"
)

// Delays that a refusal advises the caller to wait before it retries.
const (
	leavingRetryAfter     = 200 * time.Millisecond
	drainingRetryAfter    = 500 * time.Millisecond
	notLoadedRetryAfter   = 500 * time.Millisecond
	busyRetryAfter        = 100 * time.Millisecond
	memoryFullRetryAfter  = 10 * time.Second
	unreachableRetryAfter = time.Second
)

// refusal says why an attempt was not admitted. The zero refusal means admitted.
type refusal struct {
	reason     string
	retryAfter time.Duration
	// mayHaveRun is set if the attempt may have run nevertheless. The reply is
	// then a broken frame, because a second delivery of a running attempt must
	// not be answered as not run.
	mayHaveRun bool
}

func newRefusal(reason string, retryAfter time.Duration) refusal {
	return refusal{reason: reason, retryAfter: retryAfter}
}

func (r refusal) isZero() bool { return r.reason == "" }
