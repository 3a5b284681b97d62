package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/relay/wire"
)

// authority is a certificate authority that signs the certificates of a deployment.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true, IsCA: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a node's key files into the directory and returns their paths.
func (a *authority) issue(t testing.TB, dir, id, role string) *wire.TlsSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: id, OrganizationalUnit: []string{role}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := &wire.TlsSettings{
		CertificateFile: filepath.Join(dir, id+".pem"),
		KeyFile:         filepath.Join(dir, id+"-key.pem"),
		AuthorityFile:   filepath.Join(dir, "authority.pem"),
	}
	write(t, files.GetCertificateFile(), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, files.GetKeyFile(), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}))
	write(t, files.GetAuthorityFile(), a.pem)
	return files
}

func write(t testing.TB, name string, text []byte) {
	t.Helper()
	if err := os.WriteFile(name, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// hostServer answers Host calls with the functions that a test sets.
type hostServer struct {
	wire.DRPCHostUnimplementedServer

	have func(ctx context.Context, req *wire.HaveRequest) (*wire.HaveReply, error)
	run  func(req *wire.Attempt, stream wire.DRPCHost_RunStream) error
}

func (s *hostServer) Have(ctx context.Context, req *wire.HaveRequest) (*wire.HaveReply, error) {
	return s.have(ctx, req)
}

func (s *hostServer) Run(req *wire.Attempt, stream wire.DRPCHost_RunStream) error {
	return s.run(req, stream)
}

// serve runs a server on the listener until the returned function is called.
func serve(t testing.TB, lis net.Listener, keys *Keys, server *hostServer) (stop func()) {
	t.Helper()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterHost(mux, server); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = Serve(ctx, lis, keys, mux, slog.New(slog.DiscardHandler)) })
	stop = sync.OnceFunc(func() {
		cancel()
		done.Wait()
	})
	t.Cleanup(stop)
	return stop
}

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

func newReplyingServer() *hostServer {
	return &hostServer{have: func(context.Context, *wire.HaveRequest) (*wire.HaveReply, error) {
		return &wire.HaveReply{UploadQueue: 7}, nil
	}}
}

// call makes one call over a new pool.
func call(t testing.TB, keys *Keys, address string) error {
	t.Helper()
	pool := NewPool(keys)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := wire.NewDRPCHostClient(pool.Conn(ctx, address)).Have(ctx, &wire.HaveRequest{Version: "v"})
	return err
}
