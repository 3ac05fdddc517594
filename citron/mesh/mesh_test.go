package mesh

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/citroncross/citroncross/schema/peer"
)

// authority signs the certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{certificate: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().AddDate(1, 0, 0), KeyUsage: x509.KeyUsageCertSign,
	}}
	a.key = newKey(t)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes a key, a certificate for a VM and the authority's certificate to a folder.
func (a *authority) issue(t *testing.T, folder, vm string, changed time.Time) *Keys {
	t.Helper()
	key := newKey(t)
	certificate := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{vm}, NotBefore: time.Unix(0, 0), NotAfter: time.Now().AddDate(1, 0, 0),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	k := &Keys{
		CertFile: filepath.Join(folder, vm+".crt"), KeyFile: filepath.Join(folder, vm+".key"), CAFile: filepath.Join(folder, vm+".ca"),
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, k.KeyFile, "EC PRIVATE KEY", raw, changed)
	write(t, k.CertFile, "CERTIFICATE", a.sign(t, certificate, key), changed)
	write(t, k.CAFile, "CERTIFICATE", a.sign(t, a.certificate, a.key), changed)
	return k
}

func (a *authority) sign(t *testing.T, c *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	raw, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func write(t *testing.T, file, kind string, raw []byte, changed time.Time) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, changed, changed); err != nil {
		t.Fatal(err)
	}
}

// fakePeer answers beats with nothing.
type fakePeer struct {
	peer.UnimplementedPeerServer
}

func (fakePeer) Beat(context.Context, *peer.BeatRequest) (*peer.BeatReply, error) {
	return &peer.BeatReply{}, nil
}

// serve runs a server and returns its address.
func serve(t *testing.T, keys *Keys) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := (&Mesh{Keys: keys}).Serve(ctx, listener, fakePeer{})
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return listener.Addr().String()
}

// sendHeartbeat sends one beat over a new connection.
func sendHeartbeat(t *testing.T, keys *Keys, address string) error {
	t.Helper()
	m := &Mesh{Keys: keys}
	defer m.Close()
	if err := m.Connect("entry-1", address); err != nil {
		t.Fatal(err)
	}
	client, _ := m.Peer("entry-1")
	_, err := client.Beat(context.Background(), &peer.BeatRequest{})
	return err
}

func TestMutualTLSAndReload(t *testing.T) {
	folder := t.TempDir()
	first := newAuthority(t)
	past := time.Now().Add(-time.Hour)
	server := first.issue(t, folder, "entry-1", past)
	client := first.issue(t, folder, "entry-2", past)
	address := serve(t, server)
	if err := sendHeartbeat(t, client, address); err != nil {
		t.Errorf("keys of one authority: %v", err)
	}
	if sendHeartbeat(t, nil, address) == nil {
		t.Error("a client without keys was answered")
	}
	stranger := newAuthority(t).issue(t, t.TempDir(), "entry-2", past)
	if sendHeartbeat(t, stranger, address) == nil {
		t.Error("a client with keys of another authority was answered")
	}
	wrong := first.issue(t, t.TempDir(), "entry-9", past)
	if err := sendHeartbeat(t, client, serve(t, wrong)); err == nil {
		t.Error("a server with another VM's certificate was believed")
	}
	second := newAuthority(t)
	second.issue(t, folder, "entry-1", time.Now())
	second.issue(t, folder, "entry-2", time.Now())
	if err := sendHeartbeat(t, client, address); err != nil {
		t.Errorf("after both sides' files changed: %v", err)
	}
}

func TestGarbageOnThePeerPortHarmsNobody(t *testing.T) {
	address := serve(t, nil)
	for _, garbage := range []string{"", "GET / HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x01\x02"} {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Write([]byte(garbage)); err != nil {
			t.Fatal(err)
		}
		_ = connection.Close()
		if err := sendHeartbeat(t, nil, address); err != nil {
			t.Errorf("after %q: %v", garbage, err)
		}
	}
}
