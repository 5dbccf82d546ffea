// Package identity makes TLS configurations that follow their files: a
// certificate that was changed on disk is used by the next handshake, without a
// restart.
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

// checkPeriod is how often the files are looked at, at most.
const checkPeriod = time.Second

// Identity is one certificate with its key, and the authority that the other
// side has to show.
type Identity struct {
	files ebonywood.TLSFiles

	mutex       sync.Mutex
	checked     time.Time
	changed     time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// New loads the files; a fault names the one that can't be used.
func New(files ebonywood.TLSFiles) (*Identity, error) {
	identity := &Identity{files: files}
	if err := identity.load(); err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name PEM files that belong together")
	}
	return identity, nil
}

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

// current returns the newest usable files. Files that can't be read, as in the
// middle of a change, leave the earlier ones in use.
func (identity *Identity) current() (*tls.Certificate, *x509.CertPool) {
	identity.mutex.Lock()
	defer identity.mutex.Unlock()
	if time.Since(identity.checked) < checkPeriod {
		return identity.certificate, identity.authority
	}
	identity.checked = time.Now()
	if info, err := os.Stat(identity.files.Certificate()); err == nil && !info.ModTime().Equal(identity.changed) {
		if identity.load() == nil {
			identity.changed = info.ModTime()
		}
	}
	return identity.certificate, identity.authority
}

// Server is the configuration of a listener. With an authority, the other side
// has to show a certificate.
func (identity *Identity) Server() *tls.Config {
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

// Client is the configuration of a connection to another proxy. Proxies are
// addressed by IP number, so the chain is checked against the authority and the
// name is not.
func (identity *Identity) Client() *tls.Config {
	certificate, authority := identity.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, authority)
		},
	}
}

func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, each := range state.PeerCertificates[1:] {
		intermediates.AddCert(each)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
