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

// authority is a certificate authority for tests.
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

// issue writes a key, a certificate for a VM and the authority's certificate to a folder. The files get modTime.
func (a *authority) issue(t *testing.T, folder, vm string, modTime time.Time) *Keys {
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
	write(t, k.KeyFile, "EC PRIVATE KEY", raw, modTime)
	write(t, k.CertFile, "CERTIFICATE", a.sign(t, certificate, key), modTime)
	write(t, k.CAFile, "CERTIFICATE", a.sign(t, a.certificate, a.key), modTime)
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

func write(t *testing.T, file, kind string, raw []byte, modTime time.Time) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, modTime, modTime); err != nil {
		t.Fatal(err)
	}
}

// fakePeer is a daemon that answers heartbeats with an empty reply.
type fakePeer struct {
	peer.UnimplementedPeerServer
}

func (fakePeer) Beat(context.Context, *peer.BeatRequest) (*peer.BeatReply, error) {
	return &peer.BeatReply{}, nil
}

// serve starts a fakePeer and returns its address.
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

// sendHeartbeat sends one heartbeat to entry-1 over a new connection.
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

// The peer port must accept only keys of the cell's authority, and load changed key files without a restart.
func TestMutualTLSAndReload(t *testing.T) {
	folder := t.TempDir()
	first := newAuthority(t)
	past := time.Now().Add(-time.Hour)
	server := first.issue(t, folder, "entry-1", past)
	client := first.issue(t, folder, "entry-2", past)
	address := serve(t, server)
	if err := sendHeartbeat(t, client, address); err != nil {
		t.Errorf("heartbeat with keys of the same authority: %v", err)
	}
	if sendHeartbeat(t, nil, address) == nil {
		t.Error("a client without keys got an answer")
	}
	foreign := newAuthority(t).issue(t, t.TempDir(), "entry-2", past)
	if sendHeartbeat(t, foreign, address) == nil {
		t.Error("a client with keys of another authority got an answer")
	}
	otherVM := first.issue(t, t.TempDir(), "entry-9", past)
	if err := sendHeartbeat(t, client, serve(t, otherVM)); err == nil {
		t.Error("the client accepted a server with another VM's certificate")
	}
	second := newAuthority(t)
	second.issue(t, folder, "entry-1", time.Now())
	second.issue(t, folder, "entry-2", time.Now())
	if err := sendHeartbeat(t, client, address); err != nil {
		t.Errorf("heartbeat after the key files of both sides changed: %v", err)
	}
}

// Input that is not gRPC must not stop the peer port from answering other daemons.
func TestInvalidInputDoesNotStopPeerPort(t *testing.T) {
	address := serve(t, nil)
	for _, input := range []string{"", "GET / HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x01\x02"} {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := connection.Write([]byte(input)); err != nil {
			t.Fatal(err)
		}
		_ = connection.Close()
		if err := sendHeartbeat(t, nil, address); err != nil {
			t.Errorf("heartbeat after input %q: %v", input, err)
		}
	}
}
