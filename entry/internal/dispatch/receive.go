package dispatch

import "comfreyrelay.example/relay/wire"

// received is a frame of a host, or why no more come.
type received struct {
	frame *wire.Frame
	err   error
}

// receiver reads a host's frames, one each time it is asked.
type receiver struct {
	asked chan struct{}
	got   chan received // buffered by one: a frame that nobody awaits any more is dropped
}

func newReceiver(stream Stream) *receiver {
	r := &receiver{asked: make(chan struct{}), got: make(chan received, 1)}
	go func() {
		for range r.asked {
			frame, err := stream.Recv()
			r.got <- received{frame, err}
		}
	}()
	return r
}

func (r *receiver) ask()  { r.asked <- struct{}{} }
func (r *receiver) stop() { close(r.asked) }
