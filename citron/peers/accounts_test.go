package peers

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/citroncross/citroncross/citron/budget"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/link"
)

// The bytes of DATA frames are found wherever reads end.
func TestDataBytesAreCountedAcrossReads(t *testing.T) {
	var wire bytes.Buffer
	wire.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&wire, nil)
	wanted := 0
	for n := range 40 {
		size := n * n * 7
		wanted += size
		for _, err := range []error{
			framer.WriteSettings(), framer.WriteData(1, false, make([]byte, size)), framer.WritePing(false, [8]byte{}), framer.WriteData(3, true, nil),
		} {
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, size := range []int{1, 2, 7, 8, 9, 10, 23, 24, 25, 1000, wire.Len()} {
		var f frameReader
		counted := 0
		for rest := wire.Bytes(); len(rest) > 0; {
			n := min(size, len(rest))
			counted += f.countData(rest[:n])
			rest = rest[n:]
		}
		if counted != wanted {
			t.Errorf("reads of %d bytes: %d bytes of data, want %d", size, counted, wanted)
		}
	}
}

// pingServer answers pings.
type pingServer struct{ link.UnimplementedLinkServer }

func (pingServer) Ping(context.Context, *link.PingRequest) (*link.PingReply, error) {
	return &link.PingReply{VM: "a"}, nil
}

// CarryOrders keeps its stream open.
func (pingServer) CarryOrders(stream grpc.BidiStreamingServer[link.Orders, link.Answers]) error {
	<-stream.Context().Done()
	return stream.Context().Err()
}

// stall opens a connection whose streams send all but the end of a message each.
func stall(t *testing.T, address string, streams, size int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	_, _ = io.WriteString(conn, http2.ClientPreface)
	framer := http2.NewFramer(conn, nil)
	_ = framer.WriteSettings()
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for n := range streams {
		block.Reset()
		for _, f := range [][2]string{
			{":method", "POST"},
			{":scheme", "http"},
			{":path", link.Link_Append_FullMethodName},
			{":authority", "x"},
			{"content-type", "application/grpc"},
			{"te", "trailers"},
		} {
			_ = encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		id := uint32(2*n + 1)
		// A part that the server has closed the connection before is lost, which the test expects.
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true})
		message := make([]byte, size)
		binary.BigEndian.PutUint32(message[1:], uint32(size))
		for len(message) > 0 {
			piece := message[:min(len(message), 16<<10)]
			message = message[len(piece):]
			_ = framer.WriteData(id, false, piece)
		}
	}
}

// Guards against connections that hold the memory for messages of other daemons with messages that never end.
func TestStalledMessagesGiveTheirMemoryToOtherDaemons(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var shed atomic.Int64
	p := &Peers{Timer: timer.System{}, MaxConnections: 32, MaxBytes: 4 << 20, Shed: func(budget.ShedReason) { shed.Add(1) }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.Serve(ctx, listener, pingServer{})
	defer func() {
		cancel()
		<-ended
	}()
	address := listener.Addr().String()
	for range 16 {
		stall(t, address, 8, 200<<10)
	}
	clock := timer.System{}
	// The deadline only ends a test that would hang.
	for deadline := clock.Now().Boot + time.Minute; shed.Load() == 0; runtime.Gosched() {
		if clock.Now().Boot > deadline {
			t.Fatal("no connection was closed")
		}
	}
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	bounded, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	client := link.NewLinkClient(conn)
	for range 100 {
		if _, err := client.Ping(bounded, &link.PingRequest{}, grpc.WaitForReady(true)); err != nil {
			t.Fatal(err)
		}
	}
	if err := conn.Invoke(bounded, "/unknown.Service/Unknown", &link.PingRequest{}, &link.PingReply{}); status.Code(err) != codes.Unimplemented {
		t.Errorf("an unknown method is answered with %v", err)
	}
}

// Guards against memory that streams do not give back, so that a connection between daemons is closed in the end.
func TestStreamsGiveTheirMemoryBack(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peers{Timer: timer.System{}, MaxBytes: 1 << 20, Shed: func(budget.ShedReason) { t.Error("a connection was closed") }}
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.Serve(ctx, listener, pingServer{})
	defer func() {
		cancel()
		<-ended
	}()
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	client := link.NewLinkClient(conn)
	// While this stream is open, the connection is never without streams.
	if _, err := client.CarryOrders(ctx); err != nil {
		t.Fatal(err)
	}
	const messages, size = 1000, 10 << 10
	if messages*size < p.MaxBytes {
		t.Fatal("the messages fit into the memory although nothing is given back")
	}
	for range messages {
		if _, err := client.Ping(ctx, &link.PingRequest{VM: strings.Repeat("x", size)}); err != nil {
			t.Fatal(err)
		}
	}
}
