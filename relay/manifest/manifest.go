// Package manifest names versions by content: a version is the hash of its
// manifest, and the manifest holds the hash of every chunk.
package manifest

import (
	"bytes"
	"encoding/hex"

	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// Kinds of manifest.
const (
	KindBase    = "base"
	KindAdapter = "adapter"
)

// HashBytes is the size of one chunk hash.
const HashBytes = 32

// MaxChunkBytes bounds a chunk, so that one fits a message between processes.
const MaxChunkBytes = 2 << 20

// Encode returns the bytes that the origin stores and the version hashes.
func Encode(man *wire.Manifest) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(man)
}

// Version returns the version that the encoded manifest names, as hexadecimal.
func Version(encoded []byte) string {
	sum := blake3.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// Decode checks the encoded manifest against the version and returns it.
func Decode(encoded []byte, version string) (*wire.Manifest, error) {
	if Version(encoded) != version {
		return nil, failure.New(failure.Corrupt, "the manifest does not match version "+version,
			"publish the manifest again or correct the version in the document")
	}
	man := &wire.Manifest{}
	if err := proto.Unmarshal(encoded, man); err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "the manifest cannot be read", "publish it again")
	}
	if err := check(man); err != nil {
		return nil, err
	}
	return man, nil
}

func check(man *wire.Manifest) error {
	size := uint64(man.GetChunkBytes())
	if size == 0 || size > MaxChunkBytes {
		return failure.New(failure.Invalid, "the manifest's chunk size is out of bounds",
			"publish it with chunks of 1 byte to 2 MiB")
	}
	// Rounding up by adding first would overflow: a manifest of 2^64-1 bytes
	// would count as whole without a single chunk.
	want := man.GetTotalBytes() / size
	if man.GetTotalBytes()%size > 0 {
		want++
	}
	if uint64(len(man.GetChunkHashes())) != want {
		return failure.New(failure.Invalid, "the manifest's chunk count does not match its size",
			"publish it again")
	}
	for _, hash := range man.GetChunkHashes() {
		if len(hash) != HashBytes {
			return failure.New(failure.Invalid, "the manifest holds a malformed chunk hash", "publish it again")
		}
	}
	return nil
}

// Build cuts data into chunks and returns their manifest.
func Build(model, kind, baseVersion string, chunkBytes int, data []byte) *wire.Manifest {
	man := &wire.Manifest{
		Model:       model,
		Kind:        kind,
		BaseVersion: baseVersion,
		ChunkBytes:  uint32(chunkBytes),
		TotalBytes:  uint64(len(data)),
	}
	for start := 0; start < len(data); start += chunkBytes {
		end := min(start+chunkBytes, len(data))
		sum := blake3.Sum256(data[start:end])
		man.ChunkHashes = append(man.ChunkHashes, sum[:])
	}
	return man
}

// Verify reports whether the bytes are the chunk that the hash names.
func Verify(chunk, hash []byte) bool {
	sum := blake3.Sum256(chunk)
	return bytes.Equal(sum[:], hash)
}

// ChunkSize returns the bytes of chunk i; the last one may be shorter.
func ChunkSize(man *wire.Manifest, i int) int {
	size := uint64(man.GetChunkBytes())
	start := uint64(i) * size
	return int(min(size, man.GetTotalBytes()-start))
}

// Named returns the manifest of a version that is named by its publisher and
// not by its hash, with the hashes of its chunks, all but the last one of the
// same size.
func Named(version string, chunkBytes int, hashes [][]byte) *wire.Manifest {
	return &wire.Manifest{
		Model: version, Kind: KindBase, ChunkBytes: uint32(chunkBytes),
		TotalBytes: uint64(chunkBytes) * uint64(len(hashes)), ChunkHashes: hashes,
	}
}

// DecodeNamed reads an encoded manifest that Named made for the version.
func DecodeNamed(encoded []byte, version string) (*wire.Manifest, error) {
	man := &wire.Manifest{}
	if err := proto.Unmarshal(encoded, man); err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "the manifest cannot be read", "it is drawn again")
	}
	if man.GetModel() != version {
		return nil, failure.New(failure.Corrupt, "the manifest is that of "+man.GetModel(), "it is drawn again")
	}
	if err := check(man); err != nil {
		return nil, err
	}
	return man, nil
}
