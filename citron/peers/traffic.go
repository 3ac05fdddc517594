package peers

import (
	"context"
	"path"

	"google.golang.org/grpc/stats"
)

// traffic counts the bytes of messages by method.
type traffic struct {
	count func(call string, sent, received int)
}

var _ stats.Handler = (*traffic)(nil)

// method is the context key of the name of an exchange's method.
type method struct{}

// TagRPC adds the name of the method to the context.
func (t *traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, method{}, path.Base(info.FullMethodName))
}

// HandleRPC counts the bytes of a message.
func (t *traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	call, ok := ctx.Value(method{}).(string)
	if t.count == nil || !ok {
		return
	}
	switch m := s.(type) {
	case *stats.OutPayload:
		t.count(call, m.WireLength, 0)
	case *stats.InPayload:
		t.count(call, 0, m.WireLength)
	}
}

// TagConn returns the context unchanged.
func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn does nothing.
func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}
