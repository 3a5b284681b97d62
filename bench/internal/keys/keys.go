// Package keys makes the throw-away certificates of one deployment.
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
	// lifetime is longer than any run and short enough to be worthless after.
	lifetime = 24 * time.Hour
	// keyMode keeps private keys from other users of the machine.
	keyMode = 0o600
)

// Authority signs the certificates of one deployment.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority whose files lie in the directory.
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

// Issue makes a certificate for one node: its id is the common name, its role
// the organisational unit.
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
