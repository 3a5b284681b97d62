package gate

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/wire"
)

// FuzzAttempt sends arbitrary attempts. The gate must answer each with exactly one
// last frame and leave nothing in use.
func FuzzAttempt(f *testing.F) {
	seeds := []*wire.Attempt{
		newAttempt("r1", nil),
		newAttempt("r1", func(att *wire.Attempt) { att.Incarnation = "" }),
		newAttempt("r1", func(att *wire.Attempt) { att.DeadlineMillis = 1<<32 - 1 }),
		newAttempt("r1", func(att *wire.Attempt) { att.Service = "labels" }),
		newAttempt("r1", func(att *wire.Attempt) { att.ResumeTokens = []string{"", "\n"} }),
		{},
	}
	for _, seed := range seeds {
		encoded, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		att := &wire.Attempt{}
		if proto.Unmarshal(encoded, att) != nil {
			return
		}
		gf := newGateFixture(t, nil)
		stream := newFakeCaller(t.Context())
		if err := gf.gate.Run(att, stream); err != nil {
			t.Fatalf("Run failed: %v", err)
		}
		for i, frame := range stream.frames {
			last := frame.GetKind() == frameEnd || frame.GetKind() == frameRefused || frame.GetKind() == frameBroken
			if want := i == len(stream.frames)-1; last != want {
				t.Fatalf("got frame %d of %d of kind %s", i, len(stream.frames), frame.GetKind())
			}
		}
		gf.checkNothingInUse()
	})
}
