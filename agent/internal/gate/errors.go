package gate

import "comfreyrelay.example/relay/failure"

var (
	errOtherNode = failure.New(failure.Unauthorized, "the caller's certificate names another node than the message",
		"set node.id to the certificate's common name")
	errMemoryFull = failure.New(failure.Exhausted, "no more attempts can be recorded, so the attempt may still begin",
		"treat the outcome as unknown").WithRetryAfter(memoryFullRetryAfter)
)
