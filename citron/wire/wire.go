// Package wire exchanges schema messages as JSON over HTTP.
package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
)

// maxReplyBytes is the size at which a reply is cut off.
const maxReplyBytes = 256 << 20

// Client exchanges messages with servers of one kind.
type Client struct {
	service httpc.Service
	// CountBytes, if set, is called with the size of each request and its reply.
	CountBytes func(n int)
}

// NewClient returns a client that keeps up to idlePerHost idle connections to each host. It follows no redirects and has
// no circuit breaker, since callers choose endpoints and decide on retries.
func NewClient(name string, idlePerHost int) *Client {
	logx.Disable()
	breaker.NoBreakerFor(name)
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: 90 * time.Second}
	return &Client{service: httpc.NewServiceWithClient(name, &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})}
}

// Do sends in and decodes the reply into out; both may be nil. It returns ErrUnavailable if there is no answer or its
// status is not 200.
func (c *Client) Do(ctx context.Context, method, url string, in, out proto.Message) (err error) {
	defer func() { err = eris.Wrapf(err, "%s %s", method, url) }()
	var body []byte
	if in != nil {
		if body, err = protojson.Marshal(in); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.service.DoRequest(request)
	if err != nil {
		return errors.Join(citron.ErrUnavailable, err)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Join(citron.ErrUnavailable, err)
	}
	if c.CountBytes != nil {
		c.CountBytes(len(body) + len(reply))
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d: %s", citron.ErrUnavailable, response.StatusCode, bytes.TrimSpace(reply))
	}
	if out == nil {
		return nil
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(reply, out)
}

// Read decodes the first limit bytes of a request's body into a message.
func Read(r *http.Request, limit int64, message proto.Message) (err error) {
	defer func() { err = eris.Wrap(err, "read message") }()
	body, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		return err
	}
	return protojson.Unmarshal(body, message)
}

// Write sends a message as the body of the response.
func Write(w http.ResponseWriter, message proto.Message) {
	body, err := protojson.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
