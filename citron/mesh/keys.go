package mesh

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"github.com/citroncross/citroncross/citron"
)

// errNoAuthority means that a CA file contains no certificate.
var errNoAuthority = errors.New("no certificate in CA file")

// Keys holds the key, certificate and authorities for mutual TLS and reloads them when the files change.
type Keys struct {
	CertFile string
	KeyFile  string
	CAFile   string
	// Loaded is called after the files have been loaded.
	Loaded func()

	mu sync.Mutex
	// modTime is the latest modification time of the loaded files.
	modTime     time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load loads the files if one of them has changed since the last load. After an error the loaded keys stay in use.
func (k *Keys) Load() (err error) {
	defer func() { err = eris.Wrap(err, "load TLS keys") }()
	k.mu.Lock()
	defer k.mu.Unlock()
	newest, err := latestModTime(k.CertFile, k.KeyFile, k.CAFile)
	if err != nil || !newest.After(k.modTime) {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(k.CAFile)
	if err != nil {
		return err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return errNoAuthority
	}
	k.modTime, k.certificate, k.authorities = newest, &certificate, authorities
	if k.Loaded != nil {
		k.Loaded()
	}
	return nil
}

// Server returns the credentials of the peer port. Every handshake uses the current keys.
func (k *Keys) Server() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authorities,
				NextProtos:   []string{"h2"},
			}, nil
		},
	})
}

// Client returns the credentials for connections to one daemon, whose certificate must be for its VM name.
func (k *Keys) Client(vm citron.VMName) credentials.TransportCredentials {
	return &clientCredentials{keys: k, name: string(vm)}
}

// current reloads changed files and returns the keys in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	_ = k.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.certificate, k.authorities
}

// clientCredentials builds new TLS credentials for each handshake, so that changed keys are used without a restart.
type clientCredentials struct {
	keys *Keys
	name string
}

func (c *clientCredentials) tlsCredentials() credentials.TransportCredentials {
	certificate, authorities := c.keys.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   c.name,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      authorities,
	})
}

// ClientHandshake runs the handshake with the current keys.
func (c *clientCredentials) ClientHandshake(ctx context.Context, _ string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.tlsCredentials().ClientHandshake(ctx, c.name, raw)
}

// ServerHandshake runs the handshake with the current keys.
func (c *clientCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.tlsCredentials().ServerHandshake(raw)
}

// Info returns the protocol and the expected server name.
func (c *clientCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls", ServerName: c.name}
}

// Clone returns a copy.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return &clientCredentials{keys: c.keys, name: c.name}
}

// OverrideServerName implements credentials.TransportCredentials.
func (c *clientCredentials) OverrideServerName(name string) error {
	c.name = name
	return nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(files ...string) (newest time.Time, err error) {
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return newest, err
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
