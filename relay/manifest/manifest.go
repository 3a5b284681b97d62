// Package manifest implements content-addressed versions of model weights. A
// version is the hash of its manifest, which holds the hash of every chunk.
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

// HashSize is the size of a chunk hash in bytes.
const HashSize = 32

// MaxChunkBytes is the maximum size of a chunk. A chunk must fit into one message
// between processes.
const MaxChunkBytes = 2 << 20

// Encode returns the deterministic encoding of a manifest, which the origin
// stores and from which Version computes the hash.
func Encode(man *wire.Manifest) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(man)
}

// Version returns the hash of the encoded manifest in hexadecimal, which is its
// version.
func Version(encoded []byte) string {
	sum := blake3.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// Decode verifies an encoded manifest against its version and decodes it.
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
	// Computing (total+size-1)/size would overflow: a manifest of 2^64-1 bytes
	// would be accepted without any chunk.
	wantChunks := man.GetTotalBytes() / size
	if man.GetTotalBytes()%size > 0 {
		wantChunks++
	}
	if uint64(len(man.GetChunkHashes())) != wantChunks {
		return failure.New(failure.Invalid, "the manifest's chunk count does not match its size",
			"publish it again")
	}
	for _, hash := range man.GetChunkHashes() {
		if len(hash) != HashSize {
			return failure.New(failure.Invalid, "the manifest holds a malformed chunk hash", "publish it again")
		}
	}
	return nil
}

// Build divides data into chunks and returns their manifest.
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

// Verify reports whether hash is the hash of chunk.
func Verify(chunk, hash []byte) bool {
	sum := blake3.Sum256(chunk)
	return bytes.Equal(sum[:], hash)
}

// ChunkSize returns the size of chunk i in bytes; the last one may be shorter.
func ChunkSize(man *wire.Manifest, i int) int {
	size := uint64(man.GetChunkBytes())
	start := uint64(i) * size
	return int(min(size, man.GetTotalBytes()-start))
}

// BuildNamed returns the manifest of a version whose name is chosen by its publisher
// instead of derived from its hash. All chunks but the last have size chunkBytes.
func BuildNamed(version string, chunkBytes int, hashes [][]byte) *wire.Manifest {
	return &wire.Manifest{
		Model: version, Kind: KindBase, ChunkBytes: uint32(chunkBytes),
		TotalBytes: uint64(chunkBytes) * uint64(len(hashes)), ChunkHashes: hashes,
	}
}

// DecodeNamed decodes a manifest that BuildNamed created and checks that it is for
// the given version.
func DecodeNamed(encoded []byte, version string) (*wire.Manifest, error) {
	man := &wire.Manifest{}
	if err := proto.Unmarshal(encoded, man); err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "the manifest cannot be read", "it is fetched again")
	}
	if man.GetModel() != version {
		return nil, failure.New(failure.Corrupt, "the manifest is for version "+man.GetModel(), "it is fetched again")
	}
	if err := check(man); err != nil {
		return nil, err
	}
	return man, nil
}
