package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// callTimeout bounds one call to a stand-in or an operators' address.
	callTimeout = 10 * time.Second
	// maxBody bounds an answer: the ledgers of long runs are large.
	maxBody = 256 << 20
)

// client talks to the stand-ins and operators' addresses; one connection each
// is enough, so none is kept.
var client = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// call sends a JSON body where one is given and reads a JSON answer where one
// is wanted.
func (d *Deployment) call(ctx context.Context, method, url string, body, reply any) error {
	return callWith(ctx, method, url, "", body, reply)
}

func callWith(ctx context.Context, method, url, key string, body, reply any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, strings.TrimSpace(string(text)))
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(text, reply)
}
