// Package crowd tests that a daemon stays within its memory and descriptors whatever its clients send, and serves
// ordinary callers afterwards. Each test starts the daemon's own process; run one at a time, apart from other load.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citronlab/site"
)

const (
	// daemonIP and clientIP are loopback addresses that nothing else uses.
	daemonIP = "127.0.0.92"
	clientIP = "127.0.0.93"
	// memoryMb and maxFiles are the limits in the daemon's settings. memoryMb is that of the smallest VM of a deployment.
	memoryMb = 144
	maxFiles = 1600
	// crowdSize is the number of clients, as many as connections of callers are admitted.
	crowdSize = 800
	// crowdDuration is how long the clients send and return.
	crowdDuration = 6 * time.Second
	// returnPause is the pause of a client whose connection was closed.
	returnPause = 100 * time.Millisecond
	// legalBody is the largest body, legalHeader nearly the largest header that callers may send.
	legalBody   = 262_144
	legalHeader = 15_000
)

// client sends requests on one connection until an error or its end.
type client func(ctx context.Context, conn net.Conn, n int) error

// siteDaemon is a daemon on the users' platform.
type siteDaemon struct {
	*process
	front, ready, metrics, peer string
	client                      site.Client
}

// startSiteDaemon starts the stand-in of the platform and one daemon that serves ordinary requests.
func startSiteDaemon(t *testing.T) *siteDaemon {
	t.Helper()
	binary := buildDaemon(t)
	s := &site.Site{Timer: clock, IP: daemonIP, Workers: 2, RunTime: 50 * time.Millisecond}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	s.PublishConfig(1, "quick")
	ports, err := site.FreeAddresses(daemonIP, 4)
	if err != nil {
		t.Fatal(err)
	}
	d := &siteDaemon{front: ports[0], ready: ports[1], metrics: ports[2], peer: ports[3]}
	_, peerPort, err := net.SplitHostPort(d.peer)
	if err != nil {
		t.Fatal(err)
	}
	peerNumber, err := strconv.Atoi(peerPort)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := s.WriteSettings(t.TempDir(), site.Node{
		Name: "entry-0", Front: d.front, Ready: d.ready, Metrics: d.metrics, PeerPort: peerNumber, MemoryMb: memoryMb, MaxFiles: maxFiles,
	})
	if err != nil {
		t.Fatal(err)
	}
	d.process = startProcess(t, ports, "CITRONCROSS_CONFIG="+settings, binary, "platform")
	d.client.HTTP.Timeout = 5 * time.Second
	d.serveOrdinary(t, "before the crowd")
	return d
}

// serveOrdinary submits a small job until it is accepted, and reads its state.
func (d *siteDaemon) serveOrdinary(t *testing.T, when string) {
	t.Helper()
	id := fmt.Sprintf("%016x", clock.Now().Wall.UnixNano())
	eventually(t, "an ordinary job "+when, func(int) (bool, string) {
		status, answer := d.client.Call(d.front, http.MethodPost, "/quick/"+id, `{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":50}]}`)
		return status == http.StatusOK, fmt.Sprint(status, " ", answer)
	})
	eventually(t, "the state of an ordinary job "+when, func(int) (bool, string) {
		status, state := d.client.State(d.front, "/quick/"+id)
		return status == http.StatusOK && state != "", fmt.Sprint(status, " ", state)
	})
	eventually(t, "the readiness "+when, func(int) (bool, string) {
		status, _ := d.client.Call(d.ready, http.MethodGet, "/citroncross/ready", "")
		return status == http.StatusOK, fmt.Sprint(status)
	})
}

// run lets a crowd press on an address and checks the daemon.
func (d *siteDaemon) run(t *testing.T, address string, send client) {
	t.Helper()
	most := press(t, d.process, crowdSize, address, send)
	d.check(t, most, memoryMb*mebibyte, maxFiles)
	d.serveOrdinary(t, "after the crowd")
}

// press lets clients send to an address for crowdDuration. A client whose connection is closed returns.
func press(t *testing.T, p *process, clients int, address string, send client) peak {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), crowdDuration)
	defer cancel()
	watched := p.watch(ctx)
	ended := make(chan error, clients)
	for n := range clients {
		go func() { ended <- stay(ctx, address, n, send) }()
	}
	connected := 0
	for range clients {
		if err := <-ended; err == nil {
			connected++
		}
	}
	if connected == 0 {
		t.Fatal("no client of the crowd could connect")
	}
	return <-watched
}

// stay connects again and again until the context ends. It fails if it never connects.
func stay(ctx context.Context, address string, n int, send client) (err error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(clientIP)}}
	connected := false
	for ctx.Err() == nil {
		var conn net.Conn
		if conn, err = dialer.DialContext(ctx, "tcp", address); err == nil {
			connected = true
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if send(ctx, conn, n) == nil {
				// The connection stays open until the daemon closes it.
				_, _ = io.Copy(io.Discard, conn)
			}
			stop()
			_ = conn.Close()
		}
		timer.Pause(ctx, clock, returnPause)
	}
	if connected {
		return nil
	}
	return err
}

// headerLines returns about size bytes of header in different short lines.
func headerLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(36+n), 36))
	}
	return b.String()
}

// head returns a request's first lines, without the blank line.
func head(method string, n int, fields string) string {
	return fmt.Sprintf("%s /quick/%016x HTTP/1.1\r\nHost: jobs.example\r\n%s", method, n, fields)
}

// padded returns a legal job of legalBody bytes.
func padded(job string) []byte {
	return append(bytes.Repeat([]byte(" "), legalBody-len(job)), job...)
}

const smallJob = `{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":50}]}`

// sending returns a client that sends one request and then nothing more.
func sending(request func(n int) []byte) client {
	return func(_ context.Context, conn net.Conn, n int) error {
		_, err := conn.Write(request(n))
		return err
	}
}

// repeating returns a client that sends a request again whenever something of an answer has come.
func repeating(request func(n int) []byte) client {
	return func(ctx context.Context, conn net.Conn, n int) error {
		answer := make([]byte, 64<<10)
		for ctx.Err() == nil {
			if _, err := conn.Write(request(n)); err != nil {
				return err
			}
			if _, err := conn.Read(answer); err != nil {
				return err
			}
		}
		return ctx.Err()
	}
}

func contentLength(n int) string {
	return fmt.Sprintf("Content-Length: %d\r\n", n)
}

// Guards against header lines that cost many times their bytes.
func TestManyHeaderLinesBeforeABodyThatStops(t *testing.T) {
	lines := headerLines(legalHeader)
	d := startSiteDaemon(t)
	d.run(t, d.front, sending(func(n int) []byte {
		return []byte(head(http.MethodPost, n, contentLength(legalBody)+lines) + "\r\n{")
	}))
}

// Guards against header lines of requests that are answered, whose connections stay open.
func TestManyHeaderLinesOfWholeRequests(t *testing.T) {
	lines := headerLines(legalHeader)
	d := startSiteDaemon(t)
	d.run(t, d.front, repeating(func(n int) []byte { return []byte(head(http.MethodGet, n, lines) + "\r\n") }))
}

// Guards against header lines of a header that never ends, the second one of its connection.
func TestManyHeaderLinesOfAHeaderThatStops(t *testing.T) {
	lines := headerLines(legalHeader)
	d := startSiteDaemon(t)
	d.run(t, d.front, sending(func(n int) []byte { return []byte(head(http.MethodGet, n, "\r\n") + head(http.MethodGet, n, lines)) }))
}

// Guards against the memory of many bodies that are nearly complete.
func TestLargeBodiesThatStop(t *testing.T) {
	body := padded(smallJob)[:legalBody-1]
	d := startSiteDaemon(t)
	d.run(t, d.front, func(_ context.Context, conn net.Conn, n int) error {
		if _, err := io.WriteString(conn, head(http.MethodPost, n, contentLength(legalBody))+"\r\n"); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}

// Guards against the memory of many bodies that arrive in pieces and stop.
func TestLargeBodiesInPiecesThatStop(t *testing.T) {
	body := padded(smallJob)[:legalBody-1]
	d := startSiteDaemon(t)
	d.run(t, d.front, func(ctx context.Context, conn net.Conn, n int) error {
		_, err := io.WriteString(conn, head(http.MethodPost, n, contentLength(legalBody))+"\r\n")
		const pieces = 32
		for rest := body; err == nil && len(rest) > 0; timer.Pause(ctx, clock, pollInterval) {
			piece := rest[:min(legalBody/pieces, len(rest))]
			rest = rest[len(piece):]
			_, err = conn.Write(piece)
		}
		return err
	})
}

// chunked returns a body in chunks of size bytes without its end.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		body = body[len(chunk):]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return b.Bytes()
}

const chunkedHeader = "Transfer-Encoding: chunked\r\n"

// Guards against the memory of chunked bodies that stop, with the most overhead per byte.
func TestChunkedBodiesInSmallChunksThatStop(t *testing.T) {
	body := chunked(padded(smallJob), 1)
	d := startSiteDaemon(t)
	d.run(t, d.front, func(_ context.Context, conn net.Conn, n int) error {
		if _, err := io.WriteString(conn, head(http.MethodPost, n, chunkedHeader)+"\r\n"); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}

// Guards against the memory of chunked bodies of unknown length that stop.
func TestChunkedBodiesInLargeChunksThatStop(t *testing.T) {
	body := chunked(padded(smallJob), 65_536)
	d := startSiteDaemon(t)
	d.run(t, d.front, func(_ context.Context, conn net.Conn, n int) error {
		if _, err := io.WriteString(conn, head(http.MethodPost, n, chunkedHeader)+"\r\n"); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}

// refusedBodies are bodies of legal size that are refused after decoding.
func refusedBodies() map[string][]byte {
	fill := func(start, unit, end string) []byte {
		return []byte(start + strings.Repeat(unit, (legalBody-len(start)-len(end))/len(unit)) + end)
	}
	return map[string][]byte{
		"ManySteps":   fill(`{"steps":[`, `{},`, `{}]}`),
		"ManyNumbers": fill(`{"steps":[{"after":[`, `1,`, `1]}]}`),
		"LongNumber":  fill(`{"spec":`, `1`, `}`),
		"LongText":    fill(`{"spec":"`, "\xff", `"}`),
	}
}

// Guards against bodies that take many times their bytes when they are decoded, and against what is kept of a refused one.
func TestDecodedBodiesThatAreRefused(t *testing.T) {
	for name, body := range refusedBodies() {
		t.Run(name, func(t *testing.T) {
			d := startSiteDaemon(t)
			d.run(t, d.front, repeating(func(n int) []byte {
				return append([]byte(head(http.MethodPost, n, contentLength(len(body)))+"\r\n"), body...)
			}))
		})
	}
}

// Guards against bodies that nobody reads, since their requests are refused by their header.
func TestLargeBodiesOfRefusedRequestsThatStop(t *testing.T) {
	body := padded(smallJob)[:legalBody-1]
	d := startSiteDaemon(t)
	d.run(t, d.front, func(_ context.Context, conn net.Conn, _ int) error {
		if _, err := io.WriteString(conn, "POST /nowhere/1 HTTP/1.1\r\nHost: jobs.example\r\n"+contentLength(legalBody)+"\r\n"); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}

// Guards against limits of one port that do not hold on another: readiness and metrics.
func TestManyHeaderLinesAtTheOtherPorts(t *testing.T) {
	lines := headerLines(legalHeader)
	d := startSiteDaemon(t)
	for name, address := range map[string]string{"Ready": d.ready, "Metrics": d.metrics} {
		t.Run(name, func(t *testing.T) {
			d.run(t, address, sending(func(n int) []byte {
				return append([]byte(head(http.MethodPost, n, contentLength(legalBody)+lines)+"\r\n"), padded("")[1:]...)
			}))
		})
	}
}

// A request inside the limits must be served in calm, whatever its form.
func TestSingleLargeRequestsAreServed(t *testing.T) {
	d := startSiteDaemon(t)
	body := padded(smallJob)
	manyLines := headerLines(1200 * 5)
	for n, request := range []struct {
		name string
		body []byte
		head string
		// piece is the size of the pieces in which the body is written.
		piece int
	}{
		{"header lines", []byte(smallJob), contentLength(len(smallJob)) + manyLines, legalBody},
		{"legal header", []byte(smallJob), contentLength(len(smallJob)) + headerLines(legalHeader), legalBody},
		{"whole body", body, contentLength(len(body)), legalBody},
		{"body in pieces", body, contentLength(len(body)), 8192},
		{"small chunks", append(chunked(body, 1), "0\r\n\r\n"...), chunkedHeader, 2 << 20},
		{"large chunks", append(chunked(body, 65_536), "0\r\n\r\n"...), chunkedHeader, 2 << 20},
	} {
		t.Run(request.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", d.front)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			raw := append([]byte(head(http.MethodPost, 1_000_000+n, "Connection: close\r\n"+request.head)+"\r\n"), request.body...)
			for len(raw) > 0 && err == nil {
				piece := raw[:min(request.piece, len(raw))]
				raw = raw[len(piece):]
				_, err = conn.Write(piece)
			}
			if err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(conn)
			if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
				t.Errorf("answer %q, error %v, want status 200", answer, err)
			}
		})
	}
}

// Guards against a bound on the cost of jobs that the largest single one does not meet on the smallest VM.
func TestSingleJobOfManyTasksIsAccepted(t *testing.T) {
	d := startSiteDaemon(t)
	const large = `{"spec":"s","steps":[{"count":20000,"cpu":100,"mem_mb":16,"estimate_ms":50}]}`
	if status, answer := d.client.Call(d.front, http.MethodPost, "/quick/00000000000000aa", large); status != http.StatusOK {
		t.Errorf("a job of 20,000 tasks in calm is answered with %d %s", status, answer)
	}
	d.serveOrdinary(t, "beside a job of 20,000 tasks")
}

// Guards against accepted jobs of legal size whose state uses up the memory.
func TestWholeBodiesThatAreAccepted(t *testing.T) {
	step := `{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":50,"image":"` + strings.Repeat("x", 900) + `"}`
	pressWithJobs(t, `{"spec":"s","steps":[`+strings.Repeat(step+",", 249)+step+`]}`)
}

// Guards against small bodies whose jobs have very many tasks.
func TestWholeBodiesOfManyTasksThatAreAccepted(t *testing.T) {
	pressWithJobs(t, `{"spec":"s","steps":[{"count":20000,"cpu":100,"mem_mb":16,"estimate_ms":50}]}`)
}

// pressWithJobs lets a crowd submit jobs with the same body and checks the daemon. Ordinary requests are answered afterwards, a job
// also with 503 and Retry-After, since those that were accepted still have to run.
func pressWithJobs(t *testing.T, body string) {
	t.Helper()
	d := startSiteDaemon(t)
	var jobs atomic.Int64
	most := press(t, d.process, crowdSize, d.front, repeating(func(int) []byte {
		return []byte(head(http.MethodPost, int(jobs.Add(1)), contentLength(len(body))) + "\r\n" + body)
	}))
	d.check(t, most, memoryMb*mebibyte, maxFiles)
	eventually(t, "an ordinary job after the crowd", func(attempt int) (bool, string) {
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/quick/%016x", d.front, 1<<40+attempt), strings.NewReader(smallJob))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "jobs.example"
		answer, err := d.client.HTTP.Do(request)
		if err != nil {
			return false, err.Error()
		}
		_ = answer.Body.Close()
		refused := answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") != ""
		return refused || answer.StatusCode == http.StatusOK, answer.Status
	})
	if u, ok := d.measure(); !ok || u.resident+u.unread > memoryMb*mebibyte {
		t.Errorf("%d MB resident afterwards, the limit is %d MB", u.resident/mebibyte, memoryMb)
	}
}
