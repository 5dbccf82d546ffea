package site

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"

	"github.com/ebonywood/ebonywood/internal/standin/targetserver"
)

// writeVerifier writes a callersFile with the SCRAM verifier of one user.
func writeVerifier(t *testing.T, user, password string) string {
	client, err := scram.SHA256.NewClient(user, password, "")
	require.NoError(t, err)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "salt-of-the-test", Iters: 4096})
	require.NoError(t, err)
	encode := base64.StdEncoding.EncodeToString
	line := fmt.Sprintf("%s:SCRAM-SHA-256$4096:%s$%s:%s\n", user, encode([]byte(stored.Salt)), encode(stored.StoredKey), encode(stored.ServerKey))
	path := filepath.Join(t.TempDir(), "callers")
	require.NoError(t, os.WriteFile(path, []byte(line), 0o600))
	return path
}

func startWithSettings(t *testing.T, proxies int, extraSettings string) *Site {
	t.Setenv("EBONYWOOD_STRICT", "1")
	site, err := Start(context.Background(), proxies, extraSettings, func(*targetserver.Server) {})
	require.NoError(t, err)
	t.Cleanup(site.Stop)
	return site
}

// TestCallerPasswordAuthentication checks that a proxy with a callersFile accepts
// only the right password of a listed user.
func TestCallerPasswordAuthentication(t *testing.T) {
	site := startWithSettings(t, 1, fmt.Sprintf("callersFile: %q\n", writeVerifier(t, "shop", "right")))
	for password, want := range map[string]string{"right": "", "wrong": "28P01", "": "28P01"} {
		config, err := pgx.ParseConfig(site.URL(0))
		require.NoError(t, err)
		config.Password = password
		conn, err := pgx.ConnectConfig(context.Background(), config)
		if want != "" {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		_, err = conn.Exec(context.Background(), "select 'in'")
		require.NoError(t, err)
		require.NoError(t, conn.Close(context.Background()))
	}
	config, err := pgx.ParseConfig(strings.Replace(site.URL(0), "shop@", "stranger@", 1))
	require.NoError(t, err)
	config.Password = "right"
	_, err = pgx.ConnectConfig(context.Background(), config)
	require.Error(t, err)
}

// authority is a certificate authority in a temporary directory.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
}

func newAuthority(t *testing.T) *authority {
	signer := &authority{dir: t.TempDir()}
	signer.cert, signer.key = signer.sign(t, 1, "authority.pem", "authority-key.pem")
	return signer
}

// sign writes a certificate and its key as PEM files. The first certificate is
// self-signed and is the authority's own.
func (authority *authority) sign(t *testing.T, serial int64, certName, keyName string) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(loopback)}, IsCA: authority.cert == nil, BasicConstraintsValid: true,
	}
	parent, signer := authority.cert, authority.key
	if parent == nil {
		parent, signer = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	rawKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	authority.write(t, keyName, "EC PRIVATE KEY", rawKey)
	authority.write(t, certName, "CERTIFICATE", raw)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return cert, key
}

func (authority *authority) write(t *testing.T, name, kind string, raw []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	require.NoError(t, os.WriteFile(filepath.Join(authority.dir, name), text, 0o600))
}

// settings returns the YAML of a TLS setting that names the files.
func (authority *authority) settings(field string) string {
	path := func(name string) string { return filepath.Join(authority.dir, name) }
	return fmt.Sprintf("%s: {certificate: %q, key: %q, authority: %q}\n", field, path("own.pem"), path("own-key.pem"), path("authority.pem"))
}

// TestPeerTLSRequiresCertificate checks that proxies connect to each other over TLS,
// that a client without a certificate is rejected, and that a replaced certificate
// is used without a restart.
func TestPeerTLSRequiresCertificate(t *testing.T) {
	signer := newAuthority(t)
	signer.sign(t, 2, "own.pem", "own-key.pem")
	site := startWithSettings(t, 2, signer.settings("peerTLS"))
	require.Len(t, site.Proxy(0).Snapshot().Peers(), 2)
	address := site.settings[0].PeerAddress()

	unauthenticated, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_, err = unauthenticated.Read(make([]byte, 1))
	}
	require.Error(t, err, "a client without a certificate was accepted")

	signer.sign(t, 3, "own.pem", "own-key.pem")
	require.Eventually(t, func() bool { return serialAt(t, signer, address) == 3 }, 10*time.Second, 50*time.Millisecond)
}

// serialAt returns the serial number of the certificate that a server presents, 0
// if the connection fails.
func serialAt(t *testing.T, signer *authority, address string) int64 {
	pair, err := tls.LoadX509KeyPair(filepath.Join(signer.dir, "own.pem"), filepath.Join(signer.dir, "own-key.pem"))
	require.NoError(t, err)
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}})
	if err != nil {
		return 0
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestCallersByTLS connects with and without TLS to a proxy that supports it, and
// writes over each connection.
func TestCallersByTLS(t *testing.T) {
	signer := newAuthority(t)
	signer.sign(t, 2, "own.pem", "own-key.pem")
	extra := fmt.Sprintf("callerTLS: {certificate: %q, key: %q}\n",
		filepath.Join(signer.dir, "own.pem"), filepath.Join(signer.dir, "own-key.pem"))
	site := startWithSettings(t, 1, extra)
	for _, mode := range []string{"require", "disable"} {
		conn, err := pgx.Connect(context.Background(), strings.Replace(site.URL(0), "sslmode=disable", "sslmode="+mode, 1))
		require.NoError(t, err)
		_, secured := conn.PgConn().Conn().(*tls.Conn)
		require.Equal(t, mode == "require", secured)
		_, err = conn.Exec(context.Background(), "insert into orders (k, v) values ('tls', $1)", mode)
		require.NoError(t, err)
		require.NoError(t, conn.Close(context.Background()))
	}
	require.ElementsMatch(t, []string{"require", "disable"}, site.Member(site.Primary()).Values("tls"))
}
