// Package stream is a client of the platform's log service over HTTP.
package stream

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
	"github.com/citroncross/citroncross/schema/record"
)

const (
	// maxRecords is the maximum number of records in one read.
	maxRecords = 4096
	// timeoutMargin is the time beyond its long poll after which a read fails.
	timeoutMargin = 2 * time.Second
)

// Log is a client of the log service.
type Log struct {
	URL    string
	client *wire.Client
}

var _ citron.Log = (*Log)(nil)

// New returns a client. If countBytes is set, it is called with the size of each exchange.
func New(url string, countBytes func(n int)) *Log {
	client := wire.NewClient("platform-log", 128)
	client.CountBytes = countBytes
	return &Log{URL: url, client: client}
}

// Append adds entries atomically.
func (l *Log) Append(ctx context.Context, stream citron.Stream, entries []*record.Entry) (offset citron.Offset, err error) {
	defer func() { err = eris.Wrapf(err, "append to %s", stream) }()
	request := &lab.AppendRequest{}
	for _, e := range entries {
		raw, err := proto.Marshal(e)
		if err != nil {
			return 0, err
		}
		request.Records = append(request.Records, raw)
	}
	var reply lab.AppendReply
	url := fmt.Sprintf("%s/v1/streams/%s/records", l.URL, stream)
	if err := l.client.Do(ctx, http.MethodPost, url, request, &reply); err != nil {
		return 0, err
	}
	return citron.Offset(reply.GetOffset()), nil
}

// Read returns entries starting at from and waits up to wait for the first one. Records that cannot be decoded become
// empty entries, so that every entry keeps its offset.
func (l *Log) Read(ctx context.Context, stream citron.Stream, from citron.Offset, wait time.Duration) (batch citron.Batch, err error) {
	defer func() { err = eris.Wrapf(err, "read %s", stream) }()
	bounded, cancel := context.WithTimeout(ctx, wait+timeoutMargin)
	defer cancel()
	var reply lab.ReadReply
	url := fmt.Sprintf("%s/v1/streams/%s/records?From=%d&Max=%d&WaitMs=%d", l.URL, stream, from, maxRecords, wait.Milliseconds())
	if err := l.client.Do(bounded, http.MethodGet, url, nil, &reply); err != nil {
		return batch, err
	}
	batch = citron.Batch{
		Oldest: citron.Offset(reply.GetFirst()),
		Start:  citron.Offset(reply.GetOffset()),
		End:    citron.Offset(reply.GetEnd()),
	}
	for _, raw := range reply.GetRecords() {
		batch.Entries = append(batch.Entries, decode(raw))
	}
	return batch, nil
}

// decode returns an empty entry for a record that cannot be decoded.
func decode(raw []byte) *record.Entry {
	var e record.Entry
	if err := proto.Unmarshal(raw, &e); err != nil {
		return &record.Entry{}
	}
	return &e
}
