package gate

import "time"

// Reasons of refused and broken frames.
const (
	reasonIncarnation = "otherIncarnation"
	reasonInvalid     = "invalid"
	reasonTombstone   = "cancelled"
	reasonDuplicate   = "duplicate"
	reasonBegunBefore = "begunBefore"
	reasonFull        = "memoryFull"
	reasonLeaving     = "leaving"
	reasonDraining    = "draining"
	reasonNotLoaded   = "notLoaded"
	reasonCustomer    = "notAllowed"
	reasonDeadline    = "deadline"
	reasonBusy        = "busy"
	reasonUnreachable = "endpointUnreachable"
	reasonVersion     = "versionChanged"
	reasonStream      = "streamBroken"
	reasonCancelled   = "stopped"
	reasonEndpoint    = "endpointFailed"
)

// Waits advised with refusals.
const (
	leavingRetry  = 200 * time.Millisecond
	drainingRetry = 500 * time.Millisecond
	loadRetry     = 500 * time.Millisecond
	busyRetry     = 100 * time.Millisecond
	fullRetry     = 10 * time.Second
	reachRetry    = time.Second
)

// refusal says why an attempt was not let in; the zero refusal lets it in.
type refusal struct {
	reason string
	retry  time.Duration
	// unproved: the attempt may have run nevertheless: a second
	// delivery of an attempt that runs must not be answered as not run.
	unproved bool
}

func refuse(reason string, retry time.Duration) refusal {
	return refusal{reason: reason, retry: retry}
}

func (r refusal) none() bool { return r.reason == "" }
