package onsite

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/wire"
)

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(text)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// nextPort counts the ports that freeAddress has tried; the process ID is added, so that test
// processes use different ports.
var nextPort atomic.Uint32

// freeAddress returns ports below the ephemeral port range of the kernel, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 10000
	portCount = 20000
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (nextPort.Add(1)+uint32(os.Getpid())*101)%portCount
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = lis.Close()
		return lis.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// eventually calls check until it returns nil, for 30 s at most.
func eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for err := check(); err != nil; err = check() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: got %v, want it to succeed within 30 s", what, err)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestRunEndToEnd runs one entry against a simulated platform. The entry reads the configuration
// and the endpoints from the store, lists itself in the directory, serves a request, applies a
// change and stops on request.
func TestRunEndToEnd(t *testing.T) {
	kvStore := platformtest.NewStore()
	store := httptest.NewServer(kvStore)
	defer store.Close()
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Stamp", "stamp")
		fmt.Fprintf(w, "%s for %s", r.RequestURI, r.Header.Get("X-Tenant"))
	}))
	defer worker.Close()
	config := func(version int, keys ...string) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "r-1", "host": "a.example", "path_prefix": "/x/", "kind": "non_idempotent",
				"timeout_ms": 5000, "target_latency_ms": 500, "service": "app", "max_attempts": 1,
			}},
			"services": []map[string]any{{"name": "app"}},
			"tenants":  []map[string]any{{"name": "deployment", "api_keys": keys}},
		}
	}
	kvStore.Put("op/config", config(1, "key-1"))
	kvStore.Put("servers/i-1", map[string]any{
		"service": "app", "address": strings.TrimPrefix(worker.URL, "http://"), "zone": "d1", "slots": 4, "state": "ready",
	})
	cfg := &wire.EntrySettings{
		Node: &wire.NodeSettings{
			Id: "entry-1", Region: "r", FailureDomain: "d1", ControlAddress: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0", LogLevel: "info",
		},
		CallersAddress: freeAddress(t), KvUrl: store.URL,
		Site: &wire.SiteSettings{
			ReadyAddress: freeAddress(t), DirectoryAddress: freeAddress(t), AgentPort: 7700, MemoryMegabytes: 128,
			Bounds: &wire.SiteBounds{GraceMillis: 8000},
		},
	}
	drain, startDrain := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	defer killNow()
	log := &logBuffer{}
	runResult := make(chan error, 1)
	go func() { runResult <- Run(drain, kill, cfg, log) }()

	eventually(t, "ready", func() error { return checkStatus("http://"+cfg.GetSite().GetReadyAddress()+"/ready", 200) })
	eventually(t, "registered", func() error {
		if len(kvStore.Keys("comfrey/entries/")) == 1 {
			return nil
		}
		return fmt.Errorf("no registration")
	})
	var resolved struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	resp, err := http.Get("http://" + cfg.GetSite().GetDirectoryAddress() + "/resolve?name=a.example&region=r&zone=d1")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.NewDecoder(resp.Body).Decode(&resolved); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if len(resolved.Addresses) != 1 || resolved.Addresses[0] != cfg.GetCallersAddress() || resolved.TTL <= 0 {
		t.Errorf("got %+v, want this entry with a positive TTL", resolved)
	}
	got, body := call(t, cfg, "key-1")
	if got != 200 || body != "/x/y?z=1 for deployment" {
		t.Errorf("got %d %q, want the worker's answer", got, body)
	}

	kvStore.Put("op/config", config(2, "key-2"))
	eventually(t, "the key is revoked", func() error {
		if got, _ := call(t, cfg, "key-1"); got != 401 {
			return fmt.Errorf("status %d", got)
		}
		return nil
	})
	if got, _ := call(t, cfg, "key-2"); got != 200 {
		t.Errorf("got %d with the new key, want 200", got)
	}

	startDrain()
	eventually(t, "not ready", func() error { return checkStatus("http://"+cfg.GetSite().GetReadyAddress()+"/ready", 503) })
	eventually(t, "registration removed", func() error {
		if keys := kvStore.Keys("comfrey/entries/"); len(keys) > 0 {
			return fmt.Errorf("got %v", keys)
		}
		return nil
	})
	if got, _ := call(t, cfg, "key-2"); got != 200 {
		t.Errorf("got %d right after the signal, want 200: callers still use the address", got)
	}
	if err := <-runResult; err != nil {
		t.Errorf("got %v, want no error from Run", err)
	}
	for _, want := range []string{"msg=started", "msg=learned", "msg=registered", "msg=answered", "msg=draining", "msg=drained", "msg=stopped"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("got no %q in the log", want)
		}
	}
	if strings.Contains(log.String(), "key-1") {
		t.Errorf("got an API key in the log")
	}
}

func checkStatus(address string, want int) error {
	resp, err := http.Get(address)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

func call(t *testing.T, cfg *wire.EntrySettings, key string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+cfg.GetCallersAddress()+"/x/y?z=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", "id-1")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// Guards against a configuration that takes the last customer away and thereby opens its routes to
// every key.
func TestNoKeyIsAcceptedOnceLastCustomerIsGone(t *testing.T) {
	f := newTestFleet(t, 1, 1, nil)
	entry := f.entries[0]
	if got := f.send(entry, "body"); got != http.StatusOK {
		t.Fatalf("got %d with a key in force, want 200", got)
	}
	f.store.Put("op/config", fleetConfig(2, []map[string]any{}))
	eventually(t, "the key is rejected", func() error {
		if got := f.send(entry, "body"); got != http.StatusUnauthorized {
			return fmt.Errorf("status %d", got)
		}
		return nil
	})
}
