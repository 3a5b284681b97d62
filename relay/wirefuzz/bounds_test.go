package wirefuzz

import (
	"io"
	"testing"

	"storj.io/drpc/drpcwire"
)

const (
	// maxMessage is the message size limit specified in docs/PROTOCOLS.md.
	maxMessage = 4 << 20
	// readAhead is how much the server may read beyond the limit before it
	// checks it, because its read buffer grows by doubling.
	readAhead = 4 << 20
	chunkSize = 64 << 10
)

// TestEndlessMessageIsCutOff guards against a process that runs out of memory and
// is killed because it buffers a message that never ends without a size limit.
func TestEndlessMessageIsCutOff(t *testing.T) {
	data := make([]byte, chunkSize)
	tests := []struct {
		name  string
		start []byte
		next  []byte
	}{
		{"frames", nil, drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: data})},
		{"one frame", []byte{byte(drpcwire.KindInvoke) << 1, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x7f}, data},
		{"message of a call", frame(nil, drpcwire.KindInvoke, 1, 1, []byte(runCall)),
			drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 2}, Kind: drpcwire.KindMessage, Data: data})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t)
			defer server.stop()
			other := server.newClient()
			defer func() { _ = other.conn.Close() }()
			hostile := server.listener.dial()
			defer func() { _ = hostile.Close() }()
			go func() { _, _ = io.Copy(io.Discard, hostile) }()
			taken, err := hostile.Write(test.start)
			for err == nil && taken <= maxMessage+readAhead {
				count := 0
				count, err = hostile.Write(test.next)
				taken += count
			}
			if err == nil {
				t.Errorf("got %d bytes of one message taken, want the connection closed at about %d", taken, maxMessage)
			}
			if taken < maxMessage {
				t.Errorf("got the connection closed after %d bytes, want %d allowed", taken, maxMessage)
			}
			other.checkCall(t)
		})
	}
}
