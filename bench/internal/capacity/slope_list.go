package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"comfreyrelay.example/relay/hostlist"
)

// Cases of the benchmark of the platform's host list.
const (
	caseListBytes     = "hostListBytes/hosts"
	caseListMillis    = "hostListMillis/hosts"
	caseListUnchanged = "hostListUnchangedBytes/hosts"
)

// listedHost is one host in the platform's list, in the format that
// docs/PROTOCOLS.md defines.
type listedHost struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	ControlAddress string `json:"controlAddress"`
	CallersAddress string `json:"callersAddress"`
	Endpoint       string `json:"endpoint"`
	Service        string `json:"service"`
	State          string `json:"state"`
}

// measureList prints the bytes of one read of the platform's host list, which every
// process polls, for a changed and for an unchanged list, and the time to decode a
// changed list.
func measureList(lines *printer) error {
	for _, n := range hostSizes {
		text, err := encodeHostList(n)
		if err != nil {
			return err
		}
		lines.line(caseListBytes, n, float64(len(text)), "bytes")
		lines.line(caseListMillis, n, microsPerCall(func() { _, err = hostlist.Parse(bytes.NewReader(text)) })/1_000, "milliseconds")
		if err != nil {
			return fmt.Errorf("list of %d hosts: %w", n, err)
		}
		unchanged, err := unchangedListBytes(text)
		if err != nil {
			return fmt.Errorf("list of %d hosts over HTTP: %w", n, err)
		}
		lines.line(caseListUnchanged, n, unchanged, "bytes")
	}
	return nil
}

// encodeHostList returns the JSON list of n simulated hosts.
func encodeHostList(n int) ([]byte, error) {
	list := struct {
		Hosts []listedHost `json:"hosts"`
	}{}
	for i := range n {
		host := node("agent", i)
		list.Hosts = append(list.Hosts, listedHost{
			ID: host.GetId(), Role: "agent", Region: host.GetRegion(), FailureDomain: host.GetFailureDomain(),
			ControlAddress: host.GetControlAddress(), Endpoint: "engine", State: "live",
		})
	}
	return json.Marshal(list)
}

// unchangedListBytes returns the bytes, in both directions, that a second read of
// an unchanged list transfers on the connection.
func unchangedListBytes(text []byte) (float64, error) {
	const tag = `"9f2c61d20b8f4f1a"`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write(text)
	}))
	defer server.Close()
	var moved atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countedConn{Conn: conn, moved: &moved}, err
	}}
	defer transport.CloseIdleConnections()
	reader := hostlist.NewReader(server.URL, &http.Client{Transport: transport})
	if _, err := reader.Read(context.Background()); err != nil {
		return 0, err
	}
	before := moved.Load()
	_, err := reader.Read(context.Background())
	return float64(moved.Load() - before), err
}

// countedConn adds the bytes that it reads and writes to a counter.
type countedConn struct {
	net.Conn

	moved *atomic.Int64
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.moved.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.moved.Add(int64(n))
	return n, err
}
