// Package keys creates a certificate authority and short-lived node certificates
// for one deployment.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"comfreyrelay.example/relay/wire"
)

const (
	// lifetime is the validity of the certificates: longer than any run, and short
	// enough that leaked keys are soon useless.
	lifetime = 24 * time.Hour
	// keyMode makes the files unreadable for other users of the machine.
	keyMode = 0o600
)

// Authority signs the certificates of one deployment.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed authority and writes its certificate to dir,
// where Issue writes its files too.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "comfreybench authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(lifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.authorityFile(), "CERTIFICATE", der)
}

func (a *Authority) authorityFile() string { return filepath.Join(a.dir, "authority.pem") }

// Issue creates a key and a signed certificate for one node and writes both to
// files. The common name is the node id, the organisational unit its role.
func (a *Authority) Issue(node, role string) (*wire.TlsSettings, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: node, OrganizationalUnit: []string{role}},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	return a.write(node, der, key)
}

// write stores the certificate and the key of a node as PEM files.
func (a *Authority) write(node string, der []byte, key *ecdsa.PrivateKey) (*wire.TlsSettings, error) {
	files := &wire.TlsSettings{
		CertificateFile: filepath.Join(a.dir, node+".pem"),
		KeyFile:         filepath.Join(a.dir, node+"-key.pem"),
		AuthorityFile:   a.authorityFile(),
	}
	if err := writePEM(files.CertificateFile, "CERTIFICATE", der); err != nil {
		return nil, err
	}
	text, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return files, writePEM(files.KeyFile, "PRIVATE KEY", text)
}

func writePEM(name, kind string, der []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return os.WriteFile(name, text, keyMode)
}
