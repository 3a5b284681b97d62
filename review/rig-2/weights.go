package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The weights of the site file caq-rezago.toml.
const (
	model       = "m0"
	pieces      = 96
	pieceBytes  = 24576
	originMbps  = 7.3
	bitsPerMbit = 1e6
)

// piece returns the bytes of a piece, which differ between versions.
func piece(version uint64, index int) []byte {
	word := fmt.Sprintf("%d/%d ", version, index)
	return bytes.Repeat([]byte(word), pieceBytes/len(word)+1)[:pieceBytes]
}

// origin is a stand-in of the origin of weights. Its link has originMbps.
type origin struct {
	link sync.Mutex // held while a piece is sent
}

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/manifest/") {
		digests := make([]string, pieces)
		for i := range digests {
			sum := sha256.Sum256(piece(version, i))
			digests[i] = hex.EncodeToString(sum[:])
		}
		reply(w, http.StatusOK, map[string]any{
			"model": model, "version": version, "chunk_bytes": pieceBytes, "layers": 16, "digests": digests,
		})
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("num"))
	if !strings.HasPrefix(r.URL.Path, "/piece/") || err != nil || index < 0 || index >= pieces {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o.link.Lock()
	defer o.link.Unlock()
	seconds := pieceBytes * 8 / (originMbps * bitsPerMbit)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	_, _ = w.Write(piece(version, index))
}
