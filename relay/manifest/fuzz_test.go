package manifest_test

import (
	"bytes"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

func encode(t testing.TB, man *wire.Manifest) []byte {
	t.Helper()
	encoded, err := manifest.Encode(man)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// FuzzDecode decodes arbitrary bytes under their own version. They must be
// rejected as corrupt or invalid, or every chunk must have a hash and a size
// within the bounds and the sizes must add up to the total.
func FuzzDecode(f *testing.F) {
	hash := make([]byte, manifest.HashSize)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff})
	f.Add(encode(f, manifest.Build("parcel", manifest.KindBase, "", 4, []byte("nine bytes"))))
	f.Add(encode(f, manifest.Build("parcel", manifest.KindAdapter, "base", 64, nil)))
	f.Add(encode(f, &wire.Manifest{ChunkBytes: 4, TotalBytes: 5, ChunkHashes: [][]byte{hash}}))
	f.Add(encode(f, &wire.Manifest{ChunkBytes: 4, TotalBytes: 4, ChunkHashes: [][]byte{hash[1:]}}))
	f.Add(encode(f, &wire.Manifest{ChunkBytes: manifest.MaxChunkBytes + 1, TotalBytes: 1, ChunkHashes: [][]byte{hash}}))
	f.Add(encode(f, &wire.Manifest{ChunkBytes: 2, TotalBytes: math.MaxUint64}))
	f.Add(encode(f, &wire.Manifest{TotalBytes: 1, ChunkHashes: [][]byte{hash}}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		man, err := manifest.Decode(encoded, manifest.Version(encoded))
		if err != nil {
			if kind := failure.KindOf(err); kind != failure.Corrupt && kind != failure.Invalid {
				t.Errorf("got kind %v (%v), want corrupt or invalid", kind, err)
			}
			return
		}
		checkSizes(t, man)
	})
}

func checkSizes(t *testing.T, man *wire.Manifest) {
	t.Helper()
	total := uint64(0)
	for i, hash := range man.GetChunkHashes() {
		size := manifest.ChunkSize(man, i)
		if size < 1 || size > manifest.MaxChunkBytes || len(hash) != manifest.HashSize {
			t.Fatalf("got chunk %d of %d bytes with a hash of %d, want it within the bounds", i, size, len(hash))
		}
		total += uint64(size)
	}
	if total != man.GetTotalBytes() {
		t.Errorf("got chunks of %d bytes in all, want %d", total, man.GetTotalBytes())
	}
}

// Guards against a host serving weights that were never published: the origin or a
// peer sends another manifest than the one requested, and the host accepts it
// because it matches its own hash.
func TestDecodeRejectsOtherVersions(t *testing.T) {
	mine := encode(t, manifest.Build("parcel", manifest.KindBase, "", 4, []byte("mine")))
	other := encode(t, manifest.Build("parcel", manifest.KindBase, "", 4, []byte("other")))
	for name, text := range map[string][]byte{
		"another":   other,
		"cut off":   mine[:len(mine)-1],
		"prolonged": append(bytes.Clone(mine), 0x08),
		"none":      nil,
	} {
		_, err := manifest.Decode(text, manifest.Version(mine))
		if got, want := failure.KindOf(err), failure.Corrupt; got != want {
			t.Errorf("%s: got kind %v, want %v", name, got, want)
		}
	}
}

func TestBuildAndVerify(t *testing.T) {
	for _, size := range []int{0, 1, 3, 4, 5, 8, 9} {
		data := []byte("weights of a model")[:size]
		man := manifest.Build("parcel", manifest.KindBase, "", 4, data)
		encoded := encode(t, man)
		decoded, err := manifest.Decode(encoded, manifest.Version(encoded))
		if err != nil || !proto.Equal(decoded, man) {
			t.Fatalf("%d bytes: got %v, %v, want the manifest back", size, decoded, err)
		}
		checkSizes(t, decoded)
		start := 0
		for i, hash := range man.GetChunkHashes() {
			chunk := data[start : start+manifest.ChunkSize(man, i)]
			if !manifest.Verify(chunk, hash) {
				t.Errorf("%d bytes: got chunk %d refused, want it to match its hash", size, i)
			}
			if manifest.Verify(append(bytes.Clone(chunk), 0), hash) {
				t.Errorf("%d bytes: got a longer chunk %d taken, want it refused", size, i)
			}
			start += len(chunk)
		}
	}
}
