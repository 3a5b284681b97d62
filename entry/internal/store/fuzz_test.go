package store

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/wire"
)

// FuzzDecodeRoot checks that a root damaged in the key-value service is rejected
// and never partly decoded.
func FuzzDecodeRoot(f *testing.F) {
	encoded, err := proto.Marshal(&wire.Root{Revision: 3, Parts: []*wire.Part{{Name: "head", Hash: "x", Size: 1}}, SubmissionId: "one"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(encoded[:len(encoded)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		root, err := DecodeRoot(value)
		if err == nil && root.GetRevision() == 0 {
			t.Errorf("got a root of revision 0 from %x, want an error", value)
		}
	})
}
