// Package runner is the HTTP client through which package jobs manages task attempts on workers.
package runner

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
)

// Client sends sync requests to workers.
type Client struct {
	client *wire.Client
}

var _ citron.Runner = (*Client)(nil)

// New returns a client that calls countBytes with the size of each exchange.
func New(countBytes func(n int)) *Client {
	client := wire.NewClient("workers", 2)
	client.CountBytes = countBytes
	return &Client{client: client}
}

// Sync starts, renews, stops and forgets attempts on one worker.
func (c *Client) Sync(ctx context.Context, address string, request *lab.SyncRequest) (reply *lab.SyncReply, err error) {
	reply = &lab.SyncReply{}
	err = c.client.Do(ctx, http.MethodPost, "http://"+address+"/v1/sync", request, reply)
	return reply, eris.Wrap(err, "sync worker")
}
