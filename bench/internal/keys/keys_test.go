package keys

import (
	"context"
	"crypto/tls"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/peer"
)

// TestIssueSatisfiesPeers issues certificates for an entry and an agent and checks
// that they complete the mutual TLS handshake that the system's processes use.
func TestIssueSatisfiesPeers(t *testing.T) {
	authority, err := NewAuthority(t.TempDir())
	if err != nil {
		t.Fatalf("NewAuthority: got %v, want no error", err)
	}
	server, client := loadKeys(t, authority, "entry-1", peer.RoleEntry), loadKeys(t, authority, "agent-1", peer.RoleAgent)
	left, right := net.Pipe()
	done := make(chan error, 1)
	go func() { done <- tls.Client(right, client.ClientConfig()).HandshakeContext(context.Background()) }()
	conn := tls.Server(left, server.ServerConfig())
	if err := conn.HandshakeContext(context.Background()); err != nil {
		t.Fatalf("server's handshake: got %v, want no error", err)
	}
	if err := <-done; err != nil {
		t.Fatalf("client's handshake: got %v, want no error", err)
	}
	subject := conn.ConnectionState().PeerCertificates[0].Subject
	if got, want := subject.CommonName, "agent-1"; got != want {
		t.Errorf("common name: got %q, want %q", got, want)
	}
	if got, want := subject.OrganizationalUnit[0], peer.RoleAgent; got != want {
		t.Errorf("organisational unit: got %q, want %q", got, want)
	}
}

func loadKeys(t *testing.T, authority *Authority, node, role string) *peer.Keys {
	t.Helper()
	files, err := authority.Issue(node, role)
	if err != nil {
		t.Fatalf("Issue: got %v, want no error", err)
	}
	loaded, err := peer.NewKeys(files, clockwork.NewRealClock())
	if err != nil {
		t.Fatalf("NewKeys: got %v, want no error", err)
	}
	return loaded
}
