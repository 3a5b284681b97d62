package onsite

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

const (
	// minCompressBytes is the minimum size of values to compress. It includes configurations,
	// which are highly repetitive, and excludes records of single hosts.
	minCompressBytes = 4 << 10
	// maxDecompressedBytes limits the size of a decompressed value. It is several times the
	// largest value that the store accepts under one key.
	maxDecompressedBytes = 8 << 20
	// maxCachedValues limits the compressed values in the cache: a configuration, and the
	// occasional report of that size.
	maxCachedValues = 16
)

// compressor compresses large values once for all followers. A source sends every configuration
// to each of its followers, and with a new configuration each second its own uplink would delay
// them. The zero value is ready for use; it is safe for concurrent use.
type compressor struct {
	mu    sync.Mutex
	cache map[string]compressedValue // by key
}

// compressedValue is the compressed form of a value at a revision; bytes is nil if compression
// does not make it smaller.
type compressedValue struct {
	revision uint64
	bytes    []byte
}

// compress returns the compressed value, or nil if the value should be sent uncompressed.
func (p *compressor) compress(entry kv.Entry) []byte {
	if len(entry.Value()) < minCompressBytes {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.cache[entry.Key()]; ok && cached.revision == entry.Revision() {
		return cached.bytes
	}
	compressed := deflate(entry.Value())
	if len(compressed) >= len(entry.Value()) {
		compressed = nil
	}
	if p.cache == nil || len(p.cache) >= maxCachedValues {
		p.cache = map[string]compressedValue{}
	}
	p.cache[entry.Key()] = compressedValue{revision: entry.Revision(), bytes: compressed}
	return compressed
}

// deflate compresses a value, optimizing for speed.
func deflate(value []byte) []byte {
	var compressed bytes.Buffer
	// An error is not expected: the level is valid and a bytes.Buffer accepts all writes.
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return value
	}
	if _, err := writer.Write(value); err != nil || writer.Close() != nil {
		return value
	}
	return compressed.Bytes()
}

// decompress reverses deflate.
func decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "cannot decompress a value", "the stream is restarted")
	}
	if len(value) > maxDecompressedBytes {
		return nil, failure.New(failure.Corrupt, "a decompressed value is too large", "the stream is restarted")
	}
	return value, nil
}
