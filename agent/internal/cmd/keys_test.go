package cmd

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// authority is a certificate authority that signs temporary certificates.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true, IsCA: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	a.check(err)
	a.cert, err = x509.ParseCertificate(der)
	a.check(err)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) check(err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.check(err)
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	a.check(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue creates a key and a certificate for a node.
func (a *authority) issue(id, role string) *wire.TlsSettings {
	a.t.Helper()
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: id, OrganizationalUnit: []string{role}},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.check(err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	a.check(err)
	return &wire.TlsSettings{
		CertificateFile: a.write(id+".pem", "CERTIFICATE", der),
		KeyFile:         a.write(id+"-key.pem", "PRIVATE KEY", secret),
		AuthorityFile:   filepath.Join(a.dir, "authority.pem"),
	}
}

// client returns a client of the agent that uses the given keys; nil means clear
// text.
func (b *testBench) client(set *wire.TlsSettings) wire.DRPCHostClient {
	b.t.Helper()
	var keys *peer.Keys
	if set != nil {
		var err error
		if keys, err = peer.NewKeys(set, clockwork.NewRealClock()); err != nil {
			b.t.Fatal(err)
		}
	}
	pool := peer.NewPool(keys)
	b.t.Cleanup(func() { _ = pool.Close() })
	return wire.NewDRPCHostClient(pool.Conn(b.t.Context(), b.address))
}

// accepts returns which of the agent's calls get a reply, whatever its content.
func accepts(ctx context.Context, client wire.DRPCHostClient, from string) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	node := &wire.Node{Id: from}
	got := map[string]bool{}
	if stream, err := client.Run(ctx, &wire.Attempt{From: node, RequestId: "r1", Attempt: 1}); err == nil {
		_, err = stream.Recv()
		got["Run"] = err == nil
	}
	_, err := client.Cancel(ctx, &wire.CancelRequest{From: node, RequestId: "r1", Attempt: 1})
	got["Cancel"] = err == nil
	_, err = client.Have(ctx, &wire.HaveRequest{From: node, Version: "v"})
	got["Have"] = err == nil
	if stream, err := client.Chunk(ctx, &wire.ChunkRequest{From: node, Version: "v"}); err == nil {
		_, err = stream.Recv()
		got["Chunk"] = err == nil
	}
	return got
}

// Guards against unauthorized calls to an agent. Each call is made with the keys
// of each role, of another node, of another deployment, and without keys. A call
// must check the certificate and not trust the sender named in the message.
func TestCallersAreKnownByTheirKeys(t *testing.T) {
	t.Parallel()
	deployment, stranger := newAuthority(t), newAuthority(t)
	b := newTestBench(t)
	b.set.Node.Insecure, b.set.Node.Tls = false, deployment.issue("h1", peer.RoleAgent)
	b.start()
	defer b.stop()
	for _, tc := range []struct {
		name     string
		keys     *wire.TlsSettings
		from     string
		requests bool // Run and Cancel
		weights  bool // Chunk and Have
	}{
		{"an entry", deployment.issue("e1", peer.RoleEntry), "e1", true, false},
		{"an entry in another's name", deployment.issue("e2", peer.RoleEntry), "e1", false, false},
		{"an entry without a name", deployment.issue("e3", peer.RoleEntry), "", false, false},
		{"an agent", deployment.issue("h2", peer.RoleAgent), "h2", false, true},
		{"an agent in an entry's name", deployment.issue("h3", peer.RoleAgent), "e1", false, false},
		{"an agent in another agent's name", deployment.issue("h4", peer.RoleAgent), "h2", false, false},
		{"another role", deployment.issue("o1", "operator"), "o1", false, false},
		{"another deployment's entry", stranger.issue("e1", peer.RoleEntry), "e1", false, false},
		{"clear text", nil, "e1", false, false},
	} {
		got := accepts(t.Context(), b.client(tc.keys), tc.from)
		for call, want := range map[string]bool{"Run": tc.requests, "Cancel": tc.requests, "Chunk": tc.weights, "Have": tc.weights} {
			if got[call] != want {
				t.Errorf("%s calls %s: got accepted %t, want %t", tc.name, call, got[call], want)
			}
		}
	}
}
