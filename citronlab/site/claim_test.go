package site

import (
	"fmt"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/schema/link"
	"github.com/citroncross/citroncross/schema/work"
)

// claim returns the newest claim of the pool.
func (c *cell) claim() *work.Claim {
	c.t.Helper()
	newest := &work.Claim{}
	if err := proto.Unmarshal([]byte(c.site.Store.Value("keyed.citron.cell", "claim/0")), newest); err != nil {
		c.t.Fatal(err)
	}
	return newest
}

// Guards against a stopping holder that hands the pool to a daemon that has not read the accepted jobs.
func TestHandoverIsRefusedUntilTheJobsAreRead(t *testing.T) {
	c := startCell(t, "127.0.0.50", 2)
	former := c.holder()
	restarted := 1 - former
	c.daemons[restarted].Kill()
	c.failNewest(jobsTopic, always)
	c.launch(restarted)
	conn, err := grpc.NewClient(c.peers[restarted], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	client := link.NewLinkClient(conn)
	epoch := c.claim().GetEpoch()
	takeOver := func(epoch uint64) error {
		_, err := client.TakeOver(t.Context(), &link.TakeOverRequest{Epoch: epoch})
		return err
	}
	c.waitUntil(func() bool {
		reply, err := client.Status(t.Context(), &link.StatusRequest{})
		return err == nil && reply.GetEpoch() == epoch
	})
	if err := takeOver(epoch); err == nil {
		t.Error("a daemon that has not read the accepted jobs agrees to take over")
	}
	c.site.Store.SetFailures(nil)
	c.waitUntil(func() bool { return c.loaded(restarted) })
	if err := takeOver(epoch + 1); err == nil {
		t.Error("a daemon agrees to take over in an epoch that it does not know")
	}
	c.waitUntil(func() bool { return takeOver(epoch) == nil || c.claim().GetEpoch() > epoch })
	if c.waitUntil(func() bool { return c.claim().GetEpoch() > epoch }); c.claim().GetVM() != fmt.Sprintf("entry-%d", restarted) {
		t.Errorf("%s claims the pool, want entry-%d, which agreed to take over", c.claim().GetVM(), restarted)
	}
	c.waitUntilCompleted([]string{c.submit(twoSteps)})
}
