package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals returns two contexts: drain is cancelled at the first SIGTERM or
// SIGINT, and kill at the second, which requests an immediate stop.
func Signals() (drain, kill context.Context) {
	drain, drainCancel := context.WithCancel(context.Background())
	kill, killCancel := context.WithCancel(context.Background())
	arrivals := make(chan os.Signal, 2)
	signal.Notify(arrivals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-arrivals
		drainCancel()
		<-arrivals
		killCancel()
	}()
	return drain, kill
}
