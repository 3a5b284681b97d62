package gate

import "time"

// Reasons of refused and broken frames.
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

// Waits advised with refusals.
const (
	leavingRetryAfter     = 200 * time.Millisecond
	drainingRetryAfter    = 500 * time.Millisecond
	notLoadedRetryAfter   = 500 * time.Millisecond
	busyRetryAfter        = 100 * time.Millisecond
	memoryFullRetryAfter  = 10 * time.Second
	unreachableRetryAfter = time.Second
)

// refusal says why an attempt was not let in; the zero refusal lets it in.
type refusal struct {
	reason     string
	retryAfter time.Duration
	// unproved: the attempt may have run nevertheless: a second
	// delivery of an attempt that runs must not be answered as not run.
	mayHaveRun bool
}

func newRefusal(reason string, retryAfter time.Duration) refusal {
	return refusal{reason: reason, retryAfter: retryAfter}
}

func (r refusal) isZero() bool { return r.reason == "" }
