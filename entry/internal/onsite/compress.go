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
	// packFrom is the size of a value from which on it is compressed: a configuration, which
	// repeats itself a great deal, and not what describes one host.
	minCompressBytes = 4 << 10
	// maxUnpacked bounds what is made of a compressed value: some times what the store holds
	// under one key.
	maxDecompressedBytes = 8 << 20
	// maxPacked bounds the values that are kept compressed: a configuration, and reports that
	// are as large now and then.
	maxCachedValues = 16
)

// packer compresses large values once for all who follow. A source sends each of its followers
// all of a configuration, and where one comes every second its own link is what makes them
// late. The zero packer is ready; it is safe for concurrent use.
type compressor struct {
	mu    sync.Mutex
	cache map[string]compressedValue // by key
}

// packedValue is a value as it was at a revision, compressed; no bytes where that gains nothing.
type compressedValue struct {
	revision uint64
	bytes    []byte
}

// pack returns a value compressed; nil where it goes as it is.
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

func deflate(value []byte) []byte {
	var compressed bytes.Buffer
	// The level is one of the library's, and a buffer takes all that is written.
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return value
	}
	if _, err := writer.Write(value); err != nil || writer.Close() != nil {
		return value
	}
	return compressed.Bytes()
}

// unpack returns the value that was compressed.
func decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "a compressed value cannot be read", "the stream is begun again")
	}
	if len(value) > maxDecompressedBytes {
		return nil, failure.New(failure.Corrupt, "a compressed value is too large", "the stream is begun again")
	}
	return value, nil
}
