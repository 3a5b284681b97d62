package dispatch

import "comfreyrelay.example/relay/wire"

// received is a frame of a host, or why no more come.
type received struct {
	frame *wire.Frame
	err   error
}

// receiver reads a host's frames, one each time it is asked.
type receiver struct {
	requests chan struct{}
	results  chan received // buffered by one: a frame that nobody awaits any more is dropped
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
