package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/wire"
)

// keyCheckInterval is how often the key files' modification times are read.
const keyCheckInterval = 2 * time.Second

// Keys holds a process's certificate and key and the certificate authority. It
// reloads the files when they change, so that keys can be replaced without a
// restart.
type Keys struct {
	files *wire.TlsSettings
	clock clockwork.Clock

	mu      sync.Mutex
	pair    tls.Certificate
	pool    *x509.CertPool
	stamps  [keyFiles]fileStamp // of the loaded files, taken before they were read
	checked time.Time
}

// keyFiles is the number of key files: certificate, key and authority.
const keyFiles = 3

// fileStamp detects changes of a file. Comparing the newest modification time of
// all files would not suffice: a file moved into place keeps its own, possibly
// older, time.
type fileStamp struct {
	modified time.Time
	size     int64
}

// NewKeys reads the key files. Later uses of the Keys check them for changes.
func NewKeys(files *wire.TlsSettings, clock clockwork.Clock) (*Keys, error) {
	k := &Keys{files: files, clock: clock}
	if err := k.read(); err != nil {
		return nil, err
	}
	k.checked = clock.Now()
	return k, nil
}

// read loads the key files. It takes the stamps first, so that a file replaced while
// it is read differs from its stamp and is read again.
func (k *Keys) read() error {
	stamps := k.statFiles()
	pair, err := tls.LoadX509KeyPair(k.files.GetCertificateFile(), k.files.GetKeyFile())
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot read the process's certificate and key",
			"name a PEM certificate and its key in tls.certificateFile and tls.keyFile")
	}
	pem, err := os.ReadFile(k.files.GetAuthorityFile())
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "cannot read the authority's certificate",
			"name a PEM file in tls.authorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return failure.New(failure.Invalid, "tls.authorityFile holds no PEM certificate",
			"put the authority's certificate there")
	}
	k.pair, k.pool, k.stamps = pair, pool, stamps
	return nil
}

func (k *Keys) statFiles() (stamps [keyFiles]fileStamp) {
	names := [keyFiles]string{k.files.GetCertificateFile(), k.files.GetKeyFile(), k.files.GetAuthorityFile()}
	for i, name := range names {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

// current returns the keys in use, after reloading changed files. Files that are
// half written during a replacement fail to parse; the last valid keys then stay in
// use until the new ones parse, since connections would fail without keys.
func (k *Keys) current() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if now.Sub(k.checked) >= keyCheckInterval {
		k.checked = now
		if k.statFiles() != k.stamps {
			_ = k.read()
		}
	}
	return k.pair, k.pool
}

// ServerConfig returns a configuration that requires from every client a
// certificate signed by the same authority.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// ClientConfig returns a configuration for dialling a process by IP address.
// Certificates name the process, not its address, so the client verifies the
// certificate chain but not the host name.
func (k *Keys) ClientConfig() *tls.Config {
	pair, pool := k.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, pool)
		},
	}
}

func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return failure.New(failure.Unauthorized, "the peer showed no certificate",
			"give it keys signed by the deployment's authority")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
