package crowd

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/citroncross/citroncross/schema/link"
)

const (
	// stalledStreams is the number of messages of stalledMessage bytes that each client begins on its connection.
	stalledStreams = 8
	stalledMessage = 256 << 10
)

// headerBlock returns the encoded headers of an exchange between daemons, with more of them.
func headerBlock(t *testing.T, encoder *hpack.Encoder, out *bytes.Buffer, more ...hpack.HeaderField) []byte {
	t.Helper()
	out.Reset()
	for _, f := range append([]hpack.HeaderField{
		{Name: ":method", Value: "POST"},
		{Name: ":scheme", Value: "http"},
		{Name: ":path", Value: link.Link_Append_FullMethodName},
		{Name: ":authority", Value: "x"},
		{Name: "content-type", Value: "application/grpc"},
		{Name: "te", Value: "trailers"},
	}, more...) {
		if err := encoder.WriteField(f); err != nil {
			t.Fatal(err)
		}
	}
	return bytes.Clone(out.Bytes())
}

// Guards against messages between daemons that are sent by many clients, in many streams, and stop just short of their end.
func TestMessagesThatStopAtThePortOfOtherDaemons(t *testing.T) {
	d := startSiteDaemon(t)
	message := make([]byte, stalledMessage)
	binary.BigEndian.PutUint32(message[1:], stalledMessage)
	d.run(t, d.peer, func(_ context.Context, conn net.Conn, _ int) error {
		// The daemon sends window updates, which must be read.
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
			return err
		}
		framer := http2.NewFramer(conn, nil)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for n := range stalledStreams {
			stream := uint32(2*n + 1)
			err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: headerBlock(t, encoder, &block), EndHeaders: true})
			const frame = 16 << 10
			for sent := 0; err == nil && sent < len(message); sent += frame {
				err = framer.WriteData(stream, false, message[sent:sent+frame])
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}
