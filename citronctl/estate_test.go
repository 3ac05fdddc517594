package main

import (
	"context"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"

	"github.com/citroncross/citroncross/schema/link"
)

// fakeDaemon is a daemon with fixed answers.
type fakeDaemon struct {
	link.UnimplementedLinkServer
	status  *link.StatusReply
	explain *link.ExplainReply
}

func (d *fakeDaemon) Status(context.Context, *link.StatusRequest) (*link.StatusReply, error) {
	return d.status, nil
}

func (d *fakeDaemon) Explain(context.Context, *link.ExplainRequest) (*link.ExplainReply, error) {
	return d.explain, nil
}

// serve starts a fakeDaemon and returns its address.
func serve(t *testing.T, d *fakeDaemon) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	link.RegisterLinkServer(server, d)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		<-ended
	})
	return listener.Addr().String()
}

// One peer address must be enough to find all daemons, and the answer of the holder must be preferred.
func TestEstateIsFoundFromOneDaemon(t *testing.T) {
	holder := serve(t, &fakeDaemon{
		status: &link.StatusReply{
			VM: "entry-2", FailureDomain: "b", Ready: true, ConfigVersion: 7, StoreAgeMs: 12, Holder: "entry-2", Epoch: 4, Holds: true,
			Queues: []*link.QueueStatus{{Queue: "quick", OpenJobs: 3, WaitingTasks: 2, RunningTasks: 5}},
			Teams: []*link.TeamStatus{
				{Team: "atlas", Weight: 2.5, UsedMilliCores: 12_500, MaxMilliCores: 40_000, UsedMemoryMb: 3000, MaxAccelerators: 8, WaitingTasks: 4, RunningTasks: 6, RefusedMs: 3400},
			},
		},
		explain: &link.ExplainReply{Known: true, Holds: true, State: "running"},
	})
	first := serve(t, &fakeDaemon{
		status: &link.StatusReply{
			VM: "entry-1", FailureDomain: "a", Ready: true, ConfigVersion: 7, StoreAgeMs: -1, Holder: "entry-2", Epoch: 4,
			Peers: []string{holder, "127.0.0.1:1"},
		},
		explain: &link.ExplainReply{Known: true, State: "queued"},
	})
	all, addresses := queryEstate([]string{first})
	got := estateText(all)
	want := `DAEMON   DOMAIN  STATE           CONFIG  STORE ANSWERED  HOLDER   EPOCH
entry-1  a       ready           7       never           entry-2  4
entry-2  b       holds the pool  7       12 ms ago       entry-2  4
no answer from 127.0.0.1:1

QUEUE  OPEN JOBS  WAITING TASKS  RUNNING TASKS
quick  3          2              5

TEAM   WEIGHT  CORES      MEMORY MB  ACCELERATORS  WAITING TASKS  RUNNING TASKS  REFUSED
atlas  2.5     12.5/40.0  3000/-     0/8           4              6              waits 3.4 s
`
	if got != want {
		t.Errorf("status\n%s\nwant\n%s", got, want)
	}
	best, answered := explainJob(addresses, "0a")
	if !answered || best.GetState() != "running" {
		t.Errorf("explainJob returned %v, want the running state from the holder, not the queued one from the store", best)
	}
	if best, answered := explainJob([]string{"127.0.0.1:1"}, "0a"); answered || best != nil {
		t.Errorf("explainJob returned %v although no daemon answers", best)
	}
	if !strings.Contains(estateText(daemons{}), "no daemon holds the pool") {
		t.Error("the status of an estate without a holder does not say so")
	}
}

// Guards against a status that does not show which kinds slow each other down, or that shows an empty table.
func TestEstateStatusListsInterferingPairs(t *testing.T) {
	reply := &link.StatusReply{VM: "entry-1", Holds: true, Epoch: 1}
	if text := estateText(daemons{Daemons: []*link.StatusReply{reply}}); strings.Contains(text, "SLOWED BY") {
		t.Errorf("status without pairs has a table of them:\n%s", text)
	}
	reply.Pairs = []*link.PairStatus{{Slowed: "quick", By: "sweep img gang", Factor: 1.498, With: 85, Without: 807, SinceMs: 65_400}}
	want := `
KIND   SLOWED BY       FACTOR  RUNS WITH  WITHOUT  SINCE
quick  sweep img gang  1.50    85         807      1m5s
`
	if text := estateText(daemons{Daemons: []*link.StatusReply{reply}}); !strings.HasSuffix(text, want) {
		t.Errorf("status\n%s\nwant it to end with\n%s", text, want)
	}
}
