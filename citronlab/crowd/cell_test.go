package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/citroncross/citroncross/citron/serve"
	"github.com/citroncross/citroncross/citronlab/plat"
	"github.com/citroncross/citroncross/citronlab/site"
)

const (
	// cellMemoryMb and cellFiles are the default limits of a daemon on the product's own log, cellBody its largest body.
	cellMemoryMb = 512
	cellFiles    = 4096
	cellBody     = 1 << 20
	// cellCrowd is the number of its clients.
	cellCrowd = 1600
)

// cellDaemon is a daemon on the product's own log.
type cellDaemon struct {
	*process
	callers, admin string
}

// startCellDaemon starts the stand-in of the platform's log and one daemon with the default limits.
func startCellDaemon(t *testing.T) *cellDaemon {
	t.Helper()
	binary := buildDaemon(t)
	listener, err := net.Listen("tcp", net.JoinHostPort(daemonIP, "0"))
	if err != nil {
		t.Fatal(err)
	}
	server, err := serve.Start(listener, (&plat.Platform{Timer: clock}).Routes())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		server.Close()
		<-server.Ended()
	})
	ports, err := site.FreeAddresses(daemonIP, 3)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(`VM = "entry-1"
FailureDomain = "z"
CallerAddress = %q
AdminAddress = %q
PeerAddress = %q
PlatformURL = "http://%s"
[[Peers]]
VM = "entry-1"
Address = %q
[TLS]
Off = true
`, ports[0], ports[1], ports[2], listener.Addr(), ports[2])), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &cellDaemon{callers: ports[0], admin: ports[1]}
	d.process = startProcess(t, ports, "GOTRACEBACK=single", binary, "run", file)
	d.answerOrdinary(t, "before the crowd")
	return d
}

// answerOrdinary asks for a job of a team that does not exist, and for the health of the daemon, until both are answered.
func (d *cellDaemon) answerOrdinary(t *testing.T, when string) {
	t.Helper()
	client := site.Client{}
	client.HTTP.Timeout = answerTimeout
	eventually(t, "an ordinary request "+when, func(int) (bool, string) {
		status, answer := client.Call(d.callers, http.MethodPost, "/v1/teams/nobody/calls/none", "x")
		return status == http.StatusNotFound && strings.Contains(answer, "nobody"), fmt.Sprint(status, " ", answer)
	})
	eventually(t, "the health "+when, func(int) (bool, string) {
		status, answer := client.Call(d.admin, http.MethodGet, "/healthz", "")
		return status == http.StatusOK, fmt.Sprint(status, " ", answer)
	})
}

// run lets a crowd press on an address and checks the daemon.
func (d *cellDaemon) run(t *testing.T, address string, send client) {
	t.Helper()
	most := press(t, d.process, cellCrowd, address, send)
	d.check(t, most, cellMemoryMb*mebibyte, cellFiles)
	d.answerOrdinary(t, "after the crowd")
}

// submitHead returns the first lines of a job's submission, without the blank line.
func submitHead(fields string) string {
	return "POST /v1/teams/nobody/jobs HTTP/1.1\r\nHost: x\r\n" + fields
}

// Guards against header lines that cost many times their bytes, at the port of callers and at that of operators.
func TestManyHeaderLinesAtTheProductsOwnPorts(t *testing.T) {
	lines := headerLines(legalHeader)
	d := startCellDaemon(t)
	for name, address := range map[string]string{"Callers": d.callers, "Admin": d.admin} {
		t.Run(name, func(t *testing.T) {
			d.run(t, address, sending(func(int) []byte { return []byte(submitHead(contentLength(1000)+lines) + "\r\n{") }))
		})
	}
}

// Guards against the memory of many bodies that stop, at the product's own port of callers.
func TestLargeBodiesThatStopAtTheProductsOwnPort(t *testing.T) {
	body := []byte(`{"Payload":"` + strings.Repeat("x", cellBody))[:cellBody-1]
	d := startCellDaemon(t)
	d.run(t, d.callers, func(_ context.Context, conn net.Conn, _ int) error {
		if _, err := io.WriteString(conn, submitHead(contentLength(cellBody))+"\r\n"); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}

// Guards against the memory of chunked bodies that stop, at the product's own port of callers.
func TestChunkedBodiesThatStopAtTheProductsOwnPort(t *testing.T) {
	body := chunked([]byte(`{"Payload":"` + strings.Repeat("x", cellBody))[:cellBody], 65_536)
	d := startCellDaemon(t)
	d.run(t, d.callers, func(_ context.Context, conn net.Conn, _ int) error {
		if _, err := io.WriteString(conn, submitHead(chunkedHeader)+"\r\n"); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}
