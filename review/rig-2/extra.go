package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	plainDeadline = time.Second
	extraTime     = 30 * time.Second
)

// plainResult is what a caller of the plain service got.
type plainResult struct {
	status  int
	foreign bool // a success with another body than that of the request's own run
}

// playExtra lets faulty workers of a plain service send extra answers. It reports whether the rules
// TWICE, REFUSED or MIXED were broken.
func playExtra(ctx context.Context, s *site, trouble string) (broken bool, err error) {
	if trouble != "0" {
		// Half of three workers, rounded down: garble (extra) has a share of up to 0.5.
		s.plain[0].setFaulty(trouble)
		s.rec.say("worker %s is faulty: %.3f of its answers are followed by an extra one", s.plain[0].id, extraShare)
	}
	ctx, cancel := context.WithTimeout(ctx, extraTime)
	defer cancel()
	results := map[string]plainResult{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for i := range 9 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%04x%012x", i+1, n)
				result := s.sendPlain(client, s.entries[i%len(s.entries)], id)
				mu.Lock()
				results[id] = result
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return s.judgeExtra(results), nil
}

// sendPlain sends one request that may run at most once.
func (s *site) sendPlain(client *http.Client, entry *machine, id string) plainResult {
	ctx, cancel := context.WithTimeout(context.Background(), plainDeadline)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s%s", entry.ip, callersPort, plainPath, id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(bytes.Repeat([]byte("y"), 600)))
	if err != nil {
		panic(err)
	}
	req.Host = plainHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(plainDeadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	s.rec.add("request %s is sent to %s", id, entry.name)
	resp, err := client.Do(req)
	if err != nil {
		s.rec.add("request %s gets no answer", id)
		return plainResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	result := plainResult{status: resp.StatusCode}
	result.foreign = err == nil && resp.StatusCode < 300 && !bytes.Equal(body, bodyFor(id))
	s.rec.add("request %s is answered %d, foreign %v", id, result.status, result.foreign)
	return result
}

// judgeExtra compares what callers got with what ran.
func (s *site) judgeExtra(results map[string]plainResult) (broken bool) {
	served, twice, refused, foreign, extras := 0, 0, 0, 0, 0
	for _, p := range s.plain {
		p.mu.Lock()
		extras += p.extras
		p.mu.Unlock()
	}
	for id, result := range results {
		runs := 0
		for _, p := range s.plain {
			p.mu.Lock()
			runs += p.ran[id]
			p.mu.Unlock()
		}
		if runs > 1 {
			twice++
			s.rec.add("TWICE: request %s ran %d times, answered %d", id, runs, result.status)
		}
		if runs > 0 && (result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests) {
			refused++
			s.rec.add("REFUSED: request %s ran and was answered %d", id, result.status)
		}
		if result.foreign {
			foreign++
			s.rec.add("MIXED: request %s got another answer", id)
		}
		if result.status == http.StatusOK {
			served++
		}
	}
	s.rec.say("%d requests, %d answered 200, %d extra answers sent", len(results), served, extras)
	s.rec.say("%d ran twice, %d ran and were refused, %d got a foreign answer", twice, refused, foreign)
	return twice+refused+foreign > 0
}
