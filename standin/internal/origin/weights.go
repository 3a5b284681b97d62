package origin

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"math/rand/v2"

	"github.com/zeebo/blake3"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

// maxBytes limits the size of one version.
const maxBytes = 4 << 30

// Publication is the body of POST /publish: the parameters of the weights to
// generate. Equal publications give the same version.
type Publication struct {
	Model string `json:"model"`
	// Kind is "base" or "adapter"; empty means "base".
	Kind        string  `json:"kind"`
	BaseVersion string  `json:"baseVersion"`
	Mib         float64 `json:"mib"`
	ChunkKib    int     `json:"chunkKib"`
	Seed        uint64  `json:"seed"`
	// FromVersion, if set, is the version to derive size and chunks from.
	// ChangeFraction is the fraction of its chunks that is regenerated.
	FromVersion    string  `json:"fromVersion"`
	ChangeFraction float64 `json:"changeFraction"`
}

// Published is the body of the reply to POST /publish.
type Published struct {
	Version string `json:"version"`
	Chunks  int    `json:"chunks"`
	Bytes   uint64 `json:"bytes"`
}

// chunkSpec generates the bytes of one chunk on demand, so that they need no memory.
type chunkSpec struct {
	seed [32]byte
	size int
}

// reader returns a stream of the chunk's bytes.
func (r chunkSpec) reader() io.Reader {
	return io.LimitReader(rand.NewChaCha8(r.seed), int64(r.size))
}

func (r chunkSpec) hash() ([]byte, error) {
	hasher := blake3.New()
	if _, err := io.Copy(hasher, r.reader()); err != nil {
		return nil, err
	}
	return hasher.Sum(nil), nil
}

// chunkSeed hashes all parameters that distinguish one chunk from another.
func chunkSeed(pub Publication, index int) [32]byte {
	hasher := blake3.New()
	_, _ = hasher.WriteString(pub.Model + "\x00" + pub.Kind + "\x00")
	_, _ = hasher.Write(binary.LittleEndian.AppendUint64(nil, pub.Seed))
	_, _ = hasher.Write(binary.LittleEndian.AppendUint64(nil, uint64(index)))
	return [32]byte(hasher.Sum(nil))
}

// version is one published version.
type version struct {
	name    string
	encoded []byte // the manifest as served
	size    uint64
	chunks  int
	specs   []chunkSpec
	hashes  []string // in the order of specs, in hexadecimal
}

// build generates a version, derived from the version from unless that is nil.
func build(pub Publication, from *version) (*version, error) {
	if pub.Kind == "" {
		pub.Kind = manifest.KindBase
	}
	specs, chunkBytes, err := planChunks(pub, from)
	if err != nil {
		return nil, err
	}
	man := &wire.Manifest{Model: pub.Model, Kind: pub.Kind, BaseVersion: pub.BaseVersion, ChunkBytes: uint32(chunkBytes)}
	published := &version{specs: specs, chunks: len(specs)}
	for _, spec := range specs {
		hash, err := spec.hash()
		if err != nil {
			return nil, err
		}
		man.ChunkHashes = append(man.ChunkHashes, hash)
		published.hashes = append(published.hashes, hex.EncodeToString(hash))
		published.size += uint64(spec.size)
	}
	man.TotalBytes = published.size
	published.encoded, err = manifest.Encode(man)
	published.name = manifest.Version(published.encoded)
	return published, err
}

// planChunks returns the specs of the chunks and the size of a full chunk.
func planChunks(pub Publication, from *version) ([]chunkSpec, int, error) {
	if from != nil {
		return changeChunks(pub, from), from.specs[0].size, nil
	}
	total := int64(pub.Mib * (1 << 20))
	chunkBytes := pub.ChunkKib << 10
	if pub.Model == "" || total <= 0 || total > maxBytes || chunkBytes <= 0 || chunkBytes > manifest.MaxChunkBytes {
		return nil, 0, failure.New(failure.Invalid, "the publication is incomplete or too large",
			"name a model, at most 4096 MiB, and chunks of 1 to 2048 KiB")
	}
	var specs []chunkSpec
	for left := total; left > 0; left -= int64(chunkBytes) {
		size := int(min(left, int64(chunkBytes)))
		specs = append(specs, chunkSpec{seed: chunkSeed(pub, len(specs)), size: size})
	}
	return specs, chunkBytes, nil
}

// changeChunks regenerates the given fraction of from's chunks, at least one unless
// the fraction is 0.
func changeChunks(pub Publication, from *version) []chunkSpec {
	specs := append([]chunkSpec(nil), from.specs...)
	changed := int(math.Ceil(min(pub.ChangeFraction, 1) * float64(len(specs))))
	order := rand.New(rand.NewPCG(pub.Seed, pub.Seed)).Perm(len(specs))
	for _, index := range order[:max(changed, 0)] {
		specs[index].seed = chunkSeed(pub, index)
	}
	return specs
}
