package serve

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/citron/timer"
)

// countingObserver counts what a guard reports.
type countingObserver struct {
	shed, incomplete atomic.Int64
}

func (o *countingObserver) Shed(string, budget.ShedReason) { o.shed.Add(1) }
func (o *countingObserver) Incomplete(string, net.Addr)    { o.incomplete.Add(1) }
func (o *countingObserver) Failed(string)                  {}

// guarded serves a handler on a loopback port and returns the address.
func guarded(t *testing.T, g *Guard, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", int(budget.ReceiveBytes))
	if err != nil {
		t.Fatal(err)
	}
	g.Timer, g.BodyTimeout = timer.System{}, time.Minute
	server, ended := g.Run(listener, handler)
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return listener.Addr().String()
}

// dial connects and sends a text, of which the server may have read a part only when it closes the connection.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text)
	return conn
}

// waitTimeout only ends a test that would hang.
const waitTimeout = time.Minute

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	clock := timer.System{}
	for deadline := clock.Now().Boot + waitTimeout; !holds(); runtime.Gosched() {
		if clock.Now().Boot > deadline {
			t.Fatalf("waited %v for %s", waitTimeout, what)
		}
	}
}

// status reads one answer and returns its status, 0 if there is none.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// readAll answers with the length of the body.
func readAll(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r, 64<<10)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, strconv.Itoa(len(body)))
	}
}

func shortLines(n int) string {
	var b strings.Builder
	for n += 36; n > 36; n-- {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return b.String()
}

// Guards against header lines that take more memory than a guard takes from the budget.
func TestHeaderTakesWhatTheBudgetCounts(t *testing.T) {
	for name, lines := range map[string]string{
		"short lines": shortLines(3000),
		"same name":   strings.Repeat("a:\r\n", 3500),
		"odd names":   strings.Repeat("a-b_c!d: x\r\n", 1200),
		"long lines":  strings.Repeat("name: "+strings.Repeat("v", 1000)+"\r\n", 14),
		"continued":   "a: b\r\n" + strings.Repeat(" c\r\n", 3500),
	} {
		t.Run(name, func(t *testing.T) {
			raw := "GET / HTTP/1.1\r\nHost: x\r\n" + lines + "\r\n"
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, _ = http.ReadRequest(bufio.NewReaderSize(strings.NewReader(raw), readBufferBytes))
			runtime.ReadMemStats(&after)
			counted := int64(strings.Count(raw, "\n"))*int64(headerLineBytes) + int64(headerByteCopies*len(raw)) + int64(budget.ConnectionBytes)
			if taken := int64(after.TotalAlloc - before.TotalAlloc); taken > counted {
				t.Errorf("%d bytes of header take %d bytes, %d are counted", len(raw), taken, counted)
			}
		})
	}
}

// Guards against clients that hold the memory for requests with headers and bodies that stop: a new request must be served.
func TestStalledRequestsGiveTheirMemoryToNewOnes(t *testing.T) {
	for name, text := range map[string]string{
		"header": "GET / HTTP/1.1\r\nHost: x\r\n" + shortLines(1000),
		"body":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 59_999),
		"chunks": "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 59_999),
		"second": "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n" + shortLines(1000),
	} {
		t.Run(name, func(t *testing.T) {
			o := &countingObserver{}
			g := &Guard{Port: "test", Budget: &budget.Budget{Total: 512 << 10}, Observer: o}
			g.Connections.Max = 64
			address := guarded(t, g, readAll)
			for range 16 {
				dial(t, address, text)
			}
			waitFor(t, "a closed connection", func() bool { return o.shed.Load() > 0 })
			conn := dial(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
			if got := status(conn); got != http.StatusOK {
				t.Errorf("status %d, want 200", got)
			}
			if held := g.Budget.Held(); held > g.Budget.Total {
				t.Errorf("%d bytes are held, want at most %d", held, g.Budget.Total)
			}
		})
	}
}

// Guards against connections without a request that take the place of callers.
func TestSilentConnectionsGiveTheirPlaceToNewOnes(t *testing.T) {
	o := &countingObserver{}
	g := &Guard{Port: "test", Budget: &budget.Budget{Total: 1 << 20}, Observer: o}
	g.Connections.Max = 4
	address := guarded(t, g, readAll)
	for range 12 {
		dial(t, address, "")
	}
	waitFor(t, "8 closed connections", func() bool { return o.shed.Load() >= 8 })
	if got := status(dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	if open := g.Connections.Len(); open > 4 {
		t.Errorf("%d connections are open, want at most 4", open)
	}
}

// Guards against a request that is being answered and ends for a new one.
func TestRequestsBeingAnsweredDoNotEnd(t *testing.T) {
	begun, proceed := make(chan bool), make(chan bool)
	g := &Guard{Port: "test", Budget: &budget.Budget{Total: 1 << 20}, Observer: &countingObserver{}}
	g.Connections.Max = 1
	address := guarded(t, g, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r, 100); err != nil {
			t.Error(err)
		}
		begun <- true
		<-proceed
		_, _ = io.WriteString(w, "done")
	})
	first := dial(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	<-begun
	if got := status(dial(t, address, "")); got != http.StatusServiceUnavailable {
		t.Errorf("a connection too many is answered with %d, want 503", got)
	}
	close(proceed)
	if got := status(first); got != http.StatusOK {
		t.Errorf("the request that was being answered got %d, want 200", got)
	}
}

// Guards against clients that send requests and do not read the answers, and so keep their places and their memory.
func TestUnreadAnswersGiveWay(t *testing.T) {
	o := &countingObserver{}
	g := &Guard{Port: "test", Budget: &budget.Budget{Total: 1 << 20}, Observer: o}
	g.Connections.Max = 4
	answer := strings.Repeat("x", 1<<20)
	var begun atomic.Int64
	address := guarded(t, g, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			begun.Add(1)
			_, _ = io.WriteString(w, answer)
		}
	})
	for range 4 {
		dial(t, address, strings.Repeat("GET /large HTTP/1.1\r\nHost: x\r\n\r\n", 100))
	}
	waitFor(t, "four answers", func() bool { return begun.Load() >= 4 })
	for range 8 {
		if got := status(dial(t, address, "GET / HTTP/1.1\r\nHost: x\r\n"+shortLines(1000)+"\r\n")); got != http.StatusOK {
			t.Fatalf("status %d, want 200", got)
		}
	}
	if o.shed.Load() == 0 {
		t.Error("no connection was closed")
	}
}

// Guards against memory that a connection does not give back after its request, its refusal or its end.
func TestMemoryIsGivenBack(t *testing.T) {
	g := &Guard{Port: "test", Budget: &budget.Budget{Total: 8 << 20}, Observer: &countingObserver{}}
	g.Connections.Max = 16
	address := guarded(t, g, readAll)
	// Of the last bytes that were read, the next header may have begun.
	const mayBeBuffered = readBufferBytes * headerLineBytes / 4
	conn := dial(t, address, "")
	answers := bufio.NewReader(conn)
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: x\r\n" + shortLines(2500) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 60_000),
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3\r\nabc\r\n", 10_000) + "0\r\na: b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70_000),
	} {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the memory of an answered request", func() bool { return g.Budget.Held() <= mayBeBuffered })
	}
	_ = conn.Close()
	waitFor(t, "the end of the last connection", func() bool { return g.Connections.Len() == 0 })
	if held := g.Budget.Held(); held != 0 {
		t.Errorf("%d bytes are held after the last connection closed", held)
	}
}

// Bodies of any form and size up to the limit arrive whole; larger ones are refused.
func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 60_000, 64 << 10, 64<<10 + 1} {
		for _, chunked := range []bool{false, true} {
			var body io.Reader = bytes.NewReader(bytes.Repeat([]byte("x"), size))
			if chunked {
				body = io.MultiReader(body)
			}
			r, err := http.NewRequest(http.MethodPost, "http://localhost/", body)
			if err != nil {
				t.Fatal(err)
			}
			if chunked {
				r.ContentLength = -1
			}
			read, err := ReadBody(r, 64<<10)
			var tooLarge *http.MaxBytesError
			if wanted := size > 64<<10; errors.As(err, &tooLarge) != wanted || !wanted && (err != nil || len(read) != size) {
				t.Errorf("%d bytes, chunked %t: %d bytes, error %v", size, chunked, len(read), err)
			}
		}
	}
}
