package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/zeromicro/go-zero/rest"
)

// get sends a request on an open connection and returns the answer.
func get(t *testing.T, conn net.Conn, answers *bufio.Reader) *http.Response {
	t.Helper()
	if _, err := io.WriteString(conn, "GET /here HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("no answer to a request on an open connection: %v", err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "whole" {
		t.Fatalf("answer body is %q with error %v, want \"whole\"", body, err)
	}
	return response
}

// A draining server must still answer requests on open connections and ask the client to close them.
func TestOpenConnectionsAreServedWhileDraining(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(listener, []rest.Route{{Method: http.MethodGet, Path: "/here", Handler: func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	}}})
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	if get(t, conn, answers).Close {
		t.Error("the answer closes the connection although the server is not draining")
	}
	s.Drain()
	if !get(t, conn, answers).Close {
		t.Error("the answer of a draining server does not close the connection")
	}
	if err := s.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if err := <-s.Ended(); err != nil {
		t.Error(err)
	}
}
