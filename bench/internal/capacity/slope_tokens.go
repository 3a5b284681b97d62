package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// Cases of the benchmark of token streams.
const (
	caseStreamCPU   = "streamCpuMicros/tokens"
	caseStreamBytes = "streamBytes/tokens"
)

// tokenServer answers every attempt with the given number of tokens, one per frame.
type tokenServer struct {
	wire.DRPCHostUnimplementedServer

	tokens int
}

// tokenFrame returns a frame with one token.
func tokenFrame(sequence int) *wire.Frame {
	return &wire.Frame{
		RequestId: "0192d1f0-0000-7000-8000-000000000000", Attempt: 1, Sequence: uint32(sequence), Kind: "tokens",
		Tokens: []string{" remittance"}, Running: 6, Queued: 1, Revision: 66_000,
	}
}

// Run streams the configured number of token frames.
func (s *tokenServer) Run(_ *wire.Attempt, stream wire.DRPCHost_RunStream) error {
	for i := range s.tokens {
		if err := stream.Send(tokenFrame(i)); err != nil {
			return err
		}
	}
	return nil
}

// measureTokens prints the CPU time and message bytes of complete streams over
// loopback without TLS. The CPU time covers sender and receiver, which encodes each
// frame as JSON as for a caller.
func measureTokens(lines *printer) error {
	server := &tokenServer{}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterHost(mux, server); err != nil {
		return err
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = peer.Serve(ctx, lis, nil, mux, slog.New(slog.DiscardHandler)) }()
	pool := peer.NewPool(nil)
	defer pool.Close()
	client := wire.NewDRPCHostClient(pool.Conn(ctx, lis.Addr().String()))
	for _, tokens := range []int{1, 64, 256, 1_024} {
		server.tokens = tokens
		cpu, err := streamCPU(ctx, client)
		if err != nil {
			return err
		}
		lines.line(caseStreamCPU, tokens, cpu, "microseconds")
		lines.line(caseStreamBytes, tokens, float64(tokens*proto.Size(tokenFrame(tokens))), "bytes")
	}
	return nil
}

// streamCPU returns the CPU time of the process for one stream, in microseconds. It
// takes the minimum of several tries.
func streamCPU(ctx context.Context, client wire.DRPCHostClient) (float64, error) {
	const streams = 200
	best := time.Hour
	for range measureTries {
		before, err := cpuTime()
		if err != nil {
			return 0, err
		}
		for range streams {
			if err := readStream(ctx, client); err != nil {
				return 0, err
			}
		}
		after, err := cpuTime()
		if err != nil {
			return 0, err
		}
		best = min(best, (after-before)/streams)
	}
	return float64(best.Nanoseconds()) / 1_000, nil
}

// readStream receives one stream to its end and encodes each frame as JSON.
func readStream(ctx context.Context, client wire.DRPCHostClient) error {
	stream, err := client.Run(ctx, &wire.Attempt{})
	for err == nil {
		var frame *wire.Frame
		if frame, err = stream.Recv(); err == nil {
			_, err = json.Marshal(map[string][]string{"tokens": frame.GetTokens()})
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() (time.Duration, error) {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0, err
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano()), nil
}
