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
	// maxBody bounds a response body. The ledgers of long runs are large.
	maxBody = 256 << 20
)

// client calls the stand-ins and the operators' addresses. A connection for each
// call is enough, so none is kept open.
var client = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// call sends body as JSON unless it is nil, and decodes the JSON response into
// reply unless that is nil.
func (d *Deployment) call(ctx context.Context, method, url string, body, reply any) error {
	return callWith(ctx, method, url, "", body, reply)
}

// callWith is call with a bearer key, which is left out if empty. Any status but
// 200 is an error.
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
