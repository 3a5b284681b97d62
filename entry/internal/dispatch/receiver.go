package dispatch

import "comfreyrelay.example/relay/wire"

// received is a frame from a host, or the error that ended the stream.
type received struct {
	frame *wire.Frame
	err   error
}

// receiver reads a stream in its own goroutine, one frame per call of request. The
// caller can thereby wait for a frame and a timer at the same time.
type receiver struct {
	requests chan struct{}
	results  chan received // capacity 1, so the goroutine does not block when no receiver waits for the frame
}

func newReceiver(stream Stream) *receiver {
	r := &receiver{requests: make(chan struct{}), results: make(chan received, 1)}
	go func() {
		for range r.requests {
			frame, err := stream.Recv()
			r.results <- received{frame, err}
		}
	}()
	return r
}

func (r *receiver) request() { r.requests <- struct{}{} }
func (r *receiver) stop()    { close(r.requests) }
