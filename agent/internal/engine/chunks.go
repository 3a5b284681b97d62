package engine

import (
	"context"
	"encoding/hex"
	"net/http"

	"comfreyrelay.example/relay/failure"
)

// PutChunk stores a verified chunk on the host under its hash.
func (c *Client) PutChunk(ctx context.Context, hash, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, chunkPath(hash), data)
	return err
}

// GetChunk returns a stored chunk. The error has kind NotFound if the host does not
// have it.
func (c *Client) GetChunk(ctx context.Context, hash []byte) ([]byte, error) {
	return c.do(ctx, http.MethodGet, chunkPath(hash), nil)
}

// DropChunk deletes a stored chunk. It is not an error if the chunk does not exist.
func (c *Client) DropChunk(ctx context.Context, hash []byte) error {
	_, err := c.do(ctx, http.MethodDelete, chunkPath(hash), nil)
	if err != nil && failure.KindOf(err) == failure.NotFound {
		return nil
	}
	return err
}

// HeldChunks returns the hashes of the chunks stored on the host. Malformed hashes
// are skipped.
func (c *Client) HeldChunks(ctx context.Context) ([][]byte, error) {
	var reply struct {
		Hashes []string `json:"hashes"`
	}
	if err := c.getJSON(ctx, "/chunks", &reply); err != nil {
		return nil, err
	}
	hashes := make([][]byte, 0, len(reply.Hashes))
	for _, text := range reply.Hashes {
		hash, err := hex.DecodeString(text)
		if err != nil {
			continue
		}
		hashes = append(hashes, hash)
	}
	return hashes, nil
}

func chunkPath(hash []byte) string { return "/chunks/" + hex.EncodeToString(hash) }
