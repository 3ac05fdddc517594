// Package invoke sends calls to endpoints over HTTP.
package invoke

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
)

const (
	// dialTimeout limits the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// chunkBytes is the maximum size of the parts in which an answer is copied.
	chunkBytes = 32 << 10
	// reportTimeout limits the query of an endpoint's load.
	reportTimeout = time.Second
)

// Headers of requests to endpoints and of their answers.
const (
	HeaderRequestID = "Citron-Request-Id"
	HeaderAttemptID = "Citron-Attempt-Id"
	HeaderTeam      = "Citron-Team"
	HeaderRunBound  = "Citron-Run-Bound-Ms"
)

// Client sends calls to endpoints.
type Client struct {
	service httpc.Service
	load    *wire.Client
}

var _ citron.Invoker = (*Client)(nil)

// New returns a client that opens at most perEndpoint connections to one endpoint.
func New(perEndpoint int) *Client {
	const name = "endpoints"
	breaker.NoBreakerFor(name)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     perEndpoint,
		MaxIdleConnsPerHost: perEndpoint,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Client{
		service: httpc.NewServiceWithClient(name, &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}),
		load: wire.NewClient("endpoint-load", 1),
	}
}

// Invoke runs one call. If the answer is not read to its end, the connection is closed.
func (c *Client) Invoke(ctx context.Context, address string, call citron.Call, w citron.AnswerWriter) (sent bool, err error) {
	defer func() { err = eris.Wrapf(err, "call %s", address) }()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return false, err
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return connected.Load(), errors.Join(citron.ErrUnavailable, err)
	}
	defer response.Body.Close()
	return true, copyAnswer(response, call, w)
}

// InFlight returns the number of calls that an endpoint reports as running.
func (c *Client) InFlight(ctx context.Context, address string) (n int, err error) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report lab.EndpointReport
	if err := c.load.Do(bounded, http.MethodGet, "http://"+address+"/v1/load", nil, &report); err != nil {
		return 0, err
	}
	return int(report.GetInFlight()), nil
}

func newRequest(ctx context.Context, address string, call citron.Call) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/run/%s", address, call.Class)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderRequestID, string(call.RequestID))
	request.Header.Set(HeaderAttemptID, string(call.AttemptID))
	request.Header.Set(HeaderTeam, string(call.Team))
	request.Header.Set(HeaderRunBound, strconv.FormatInt(call.RunBound.Milliseconds(), 10))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return request, nil
}

// copyAnswer copies an answer to w and checks that it belongs to the attempt and is complete.
func copyAnswer(response *http.Response, call citron.Call, w citron.AnswerWriter) error {
	if id := response.Header.Get(HeaderAttemptID); id != "" && id != string(call.AttemptID) {
		return citron.ErrMismatch
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// Without a length or chunked encoding, the end of the answer looks like a broken connection.
		return citron.ErrTruncated
	}
	if err := w.WriteHead(response.StatusCode, response.Header.Get("Content-Type")); err != nil {
		return err
	}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := w.WriteChunk(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Join(citron.ErrTruncated, err)
		}
	}
}
