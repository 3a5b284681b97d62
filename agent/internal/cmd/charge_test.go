package cmd

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/agent/internal/link"
	"comfreyrelay.example/relay/wire"
)

// discardStream is a stream that counts and discards its frames.
type discardStream struct {
	wire.DRPCHost_RunStream

	sent int
}

func (s *discardStream) Send(*wire.Frame) error {
	s.sent++
	return nil
}

// Guards against delayed tokens during a weight transfer. A transfer uses the
// whole uplink while frames of live requests are sent; when frames weren't
// charged to the link, the transfer left no bandwidth for them.
func TestFramesAreChargedToTheLink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const rate = 1000
	lnk := link.New(&wire.LinkSettings{Up: rate, Down: rate}, clock)
	frame := &wire.Frame{Kind: "tokens", Tokens: []string{string(make([]byte, 10*rate))}}
	out := &discardStream{}
	if err := (chargedStream{DRPCHost_RunStream: out, link: lnk}).Send(frame); err != nil {
		t.Fatal(err)
	}
	if got, want := out.sent, 1; got != want {
		t.Fatalf("frames sent without waiting: got %d, want %d", got, want)
	}
	done := make(chan error, 1)
	go func() { done <- lnk.Wait(t.Context(), link.Up, 1) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		t.Fatalf("a transfer went before the frame's bytes (%v), want it to wait", err)
	default:
	}
	clock.Advance(time.Duration(proto.Size(frame)/rate+1) * time.Second)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
