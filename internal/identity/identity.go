// Package identity creates TLS configurations that reload their files: a replaced
// certificate is used for new connections without a restart.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/ebonywood/ebonywood"
)

// checkInterval is the minimum time between two checks whether the files changed.
const checkInterval = time.Second

// Identity holds a certificate with its key, and the authority that must have issued
// the peer's certificate. authority is nil if none is configured.
type Identity struct {
	files ebonywood.TLSFiles

	mutex       sync.Mutex
	lastCheckAt time.Time
	modifiedAt  time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// New loads the files. The error is a fault of KindBadInput if they can't be used.
func New(files ebonywood.TLSFiles) (*Identity, error) {
	identity := &Identity{files: files}
	if err := identity.load(); err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name PEM files of a certificate, its private key and the authority")
	}
	return identity, nil
}

// load reads all files and replaces the certificate and the authority if all are
// valid.
func (identity *Identity) load() error {
	certificate, err := tls.LoadX509KeyPair(identity.files.Certificate(), identity.files.Key())
	if err != nil {
		return err
	}
	var authority *x509.CertPool
	if path := identity.files.Authority(); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		authority = x509.NewCertPool()
		if !authority.AppendCertsFromPEM(text) {
			return fmt.Errorf("%s holds no certificate", path)
		}
	}
	identity.certificate, identity.authority = &certificate, authority
	return nil
}

// current returns the certificate and the authority. At most once per checkInterval, it
// reloads them if the certificate file has changed since the last load. If the files
// can't be loaded, for example because they are just being replaced, the earlier ones
// stay in use.
func (identity *Identity) current() (*tls.Certificate, *x509.CertPool) {
	identity.mutex.Lock()
	defer identity.mutex.Unlock()
	if time.Since(identity.lastCheckAt) < checkInterval {
		return identity.certificate, identity.authority
	}
	identity.lastCheckAt = time.Now()
	if info, err := os.Stat(identity.files.Certificate()); err == nil && !info.ModTime().Equal(identity.modifiedAt) {
		if identity.load() == nil {
			identity.modifiedAt = info.ModTime()
		}
	}
	return identity.certificate, identity.authority
}

// ServerConfig returns the configuration of a listener. At a handshake, the files are
// reloaded if they changed; see current. With an authority, clients must present a
// certificate that it issued.
func (identity *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := identity.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate}}
			if authority != nil {
				config.ClientCAs, config.ClientAuth = authority, tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration of a connection to another proxy, with the
// files as they are now. Proxies are addressed by IP address, so the certificate chain
// is verified against the authority but the host name is not. Without an authority, the
// root certificates of the host are used.
func (identity *Identity) ClientConfig() *tls.Config {
	certificate, authority := identity.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, authority)
		},
	}
}

// verifyChain verifies the server's certificate chain against the authority.
func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
