package engine

import (
	"context"
	"encoding/hex"
	"net/http"

	"comfreyrelay.example/relay/failure"
)

// PutChunk keeps verified bytes on the host under their hash.
func (c *Client) PutChunk(ctx context.Context, hash, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, chunkPath(hash), data)
	return err
}

// GetChunk reads kept bytes back; kind NotFound where the host lacks them.
func (c *Client) GetChunk(ctx context.Context, hash []byte) ([]byte, error) {
	return c.do(ctx, http.MethodGet, chunkPath(hash), nil)
}

// DropChunk forgets kept bytes; it is no error where there were none.
func (c *Client) DropChunk(ctx context.Context, hash []byte) error {
	_, err := c.do(ctx, http.MethodDelete, chunkPath(hash), nil)
	if err != nil && failure.KindOf(err) == failure.NotFound {
		return nil
	}
	return err
}

// HeldChunks lists the hashes kept on the host.
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
