package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	answerTokens = 105 // 21 events
	deadline     = 6 * time.Second
	pauseBetween = 60 * time.Millisecond
)

// callers send streaming requests, each one after the other.
type callers struct {
	site   *site
	client *http.Client
	sent   atomic.Int64
	served atomic.Int64
}

func newCallers(s *site) *callers {
	return &callers{site: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// run starts callers that send until ctx is done.
func (c *callers) run(ctx context.Context, count int) {
	for i := range count {
		go func() {
			for ctx.Err() == nil {
				wait := c.send(ctx, c.site.entries[i%len(c.site.entries)])
				select {
				case <-ctx.Done():
				case <-time.After(wait):
				}
			}
		}()
	}
}

// send sends one request and returns when to send the next.
func (c *callers) send(ctx context.Context, entry *machine) time.Duration {
	id := fmt.Sprintf("%016x", c.sent.Add(1))
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	body := bytes.Repeat([]byte("x"), 600)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s2f", entry.ip, callersPort, routePath), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Model": model, "X-Token-Counts": fmt.Sprintf("900,%d", answerTokens),
		"X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:860", "X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10),
		"Authorization": "Bearer " + tenantKey,
	} {
		req.Header.Set(name, value)
	}
	c.site.rec.add("request %s is sent to %s", id, entry.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.site.rec.add("request %s gets no answer", id)
		return 200 * time.Millisecond
	}
	defer func() { _ = resp.Body.Close() }()
	events, whole := countEvents(resp.Body)
	c.site.rec.add("request %s is answered %d, %d events, whole %v", id, resp.StatusCode, events, whole)
	if resp.StatusCode == http.StatusOK && whole {
		c.served.Add(1)
		return pauseBetween
	}
	if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		return time.Duration(min(wait, 2) * float64(time.Second))
	}
	return 200 * time.Millisecond
}

// countEvents reads a stream to its end.
func countEvents(body io.Reader) (events int, whole bool) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
		}
		if err != nil {
			return events, err == io.EOF
		}
	}
}
