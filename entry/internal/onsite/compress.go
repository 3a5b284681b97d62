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
	packFrom = 4 << 10
	// maxUnpacked bounds what is made of a compressed value: some times what the store holds
	// under one key.
	maxUnpacked = 8 << 20
	// maxPacked bounds the values that are kept compressed: a configuration, and reports that
	// are as large now and then.
	maxPacked = 16
)

// packer compresses large values once for all who follow. A source sends each of its followers
// all of a configuration, and where one comes every second its own link is what makes them
// late. The zero packer is ready; it is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]packedValue // by key
}

// packedValue is a value as it was at a revision, compressed; no bytes where that gains nothing.
type packedValue struct {
	revision uint64
	bytes    []byte
}

// pack returns a value compressed; nil where it goes as it is.
func (p *packer) pack(entry kv.Entry) []byte {
	if len(entry.Value()) < packFrom {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[entry.Key()]; ok && known.revision == entry.Revision() {
		return known.bytes
	}
	packed := deflate(entry.Value())
	if len(packed) >= len(entry.Value()) {
		packed = nil
	}
	if p.packed == nil || len(p.packed) >= maxPacked {
		p.packed = map[string]packedValue{}
	}
	p.packed[entry.Key()] = packedValue{revision: entry.Revision(), bytes: packed}
	return packed
}

func deflate(value []byte) []byte {
	var packed bytes.Buffer
	// The level is one of the library's, and a buffer takes all that is written.
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return value
	}
	if _, err := writer.Write(value); err != nil || writer.Close() != nil {
		return value
	}
	return packed.Bytes()
}

// unpack returns the value that was compressed.
func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "a compressed value cannot be read", "the stream is begun again")
	}
	if len(value) > maxUnpacked {
		return nil, failure.New(failure.Corrupt, "a compressed value is too large", "the stream is begun again")
	}
	return value, nil
}
