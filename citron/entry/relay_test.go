package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/relay"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/work"
)

// newRelayDaemon returns a daemon with live peers and workers.
func newRelayDaemon(t *testing.T, peerCount, workers int) *Daemon {
	t.Helper()
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	d := &Daemon{Timer: clock, self: citron.Member{VM: "self", Incarnation: 1}}
	d.peers.Self, d.peers.Timer = d.self, clock
	for n := range peerCount {
		vm := citron.VMName(fmt.Sprintf("d%02d", n))
		d.peers.SetPresence(vm, &work.Presence{Incarnation: 1, MilliCores: int64(100 * (1 + n%3))}, false)
		d.peers.RecordHeard(citron.Member{VM: vm, Incarnation: 1}, false)
	}
	for n := range workers {
		d.workerEntries = append(d.workerEntries, citron.WorkerEntry{ID: citron.Worker(fmt.Sprintf("w%03d", n))})
	}
	return d
}

func TestOrdersAreRelayedOnlyInLargeCells(t *testing.T) {
	for workers, want := range map[int]bool{0: false, 48: false, defaultDirectWorkers: false, defaultDirectWorkers + 1: true, 370: true} {
		d := newRelayDaemon(t, 46, workers)
		if got := len(d.renewVia("w000")) > 0; got != want {
			t.Errorf("%d workers: relayed %t, want %t", workers, got, want)
		}
		if home := d.homePartition(); home < 1 || home >= partitionCount {
			t.Errorf("%d workers: home partition %d, want one other than the first", workers, home)
		}
	}
}

func TestRenewalsAreSpreadOverTheStrongDaemons(t *testing.T) {
	const workers = 370
	d := newRelayDaemon(t, 46, workers)
	count := map[citron.VMName]int{}
	for _, w := range d.workerEntries {
		via := d.renewVia(w.ID)
		if len(via) != relayChoices || via[0] == via[1] || via[0].Via != "" {
			t.Fatalf("relays %v of worker %s, want %d different ones", via, w.ID, relayChoices)
		}
		count[via[0].VM]++
	}
	relays := workers/workersPerRelay + 1
	strongest := d.peers.Live()[:relays]
	if len(count) != relays {
		t.Errorf("%d daemons relay, want %d", len(count), relays)
	}
	for vm, n := range count {
		if !slices.Contains(strongest, vm) || n > 3*workersPerRelay {
			t.Errorf("%s relays the renewals of %d workers, want at most %d and only by the strongest daemons", vm, n, 3*workersPerRelay)
		}
	}
}

func TestStartsOfNarrowJobsGoToTheDaemonThatAcceptedThem(t *testing.T) {
	d := newRelayDaemon(t, 46, 370)
	accept := func(id string, tasks int32, by string) {
		value, err := proto.Marshal(&work.Job{ID: id, AcceptedBy: by, Steps: []*work.Step{{Tasks: tasks}}})
		if err != nil {
			t.Fatal(err)
		}
		d.view.Apply(citron.KeyedRecord{Key: pool.JobKey + id, Value: value})
	}
	accept("narrow", 3, "d07")
	accept("wide", wideJob+1, "d07")
	accept("orphan", 3, "gone")
	nearest := d.renewVia("w001")
	byAcceptor := relay.Hop{VM: "d07", Via: nearest[0].VM}
	if via := d.startVia("narrow.0.0.0", "w001"); via[0] != byAcceptor {
		t.Errorf("relays %v of a narrow job, want d07 first", via)
	}
	if via := d.startVia("wide.0.0.0", "w001"); via[0] != nearest[0] || via[1] != byAcceptor {
		t.Errorf("relays %v of a wide job, want that of the worker, then d07", via)
	}
	if via := d.startVia("orphan.0.0.0", "w001"); !slices.Equal(via, d.renewVia("w001")) {
		t.Errorf("relays %v of a job whose daemon is gone, want those of the worker", via)
	}
	if via := d.startVia("unknown.0.0.0", "w001"); len(via) != 0 {
		t.Errorf("relays %v of an unknown job, want none", via)
	}
}

// A worker resets connections beyond its limit of 64. With starts from every daemon that had accepted a job it did, which left
// gangs incomplete (rule GANG, ballyhoura-jobs-grown trouble-1).
func TestFewDaemonsConnectToOneWorker(t *testing.T) {
	d := newRelayDaemon(t, 46, 370)
	connected := map[citron.VMName]bool{}
	for n := range 46 {
		id := fmt.Sprintf("j%02d", n)
		value, err := proto.Marshal(&work.Job{ID: id, AcceptedBy: fmt.Sprintf("d%02d", n), Steps: []*work.Step{{Tasks: int32(1 + n)}}})
		if err != nil {
			t.Fatal(err)
		}
		d.view.Apply(citron.KeyedRecord{Key: pool.JobKey + id, Value: value})
		for _, hop := range append(d.startVia(citron.TaskRef(id+".0.0.0"), "w001"), d.renewVia("w001")...) {
			if hop.Via != "" {
				hop.VM = hop.Via
			}
			connected[hop.VM] = true
		}
	}
	if len(connected) > relayChoices {
		t.Errorf("%d daemons connect to one worker, want at most %d", len(connected), relayChoices)
	}
}

func TestStatesReachEveryDaemonThroughGroups(t *testing.T) {
	for _, n := range []int{0, 1, 5, maxPublishTargets, 17, 46} {
		live := newRelayDaemon(t, n, 0).peers.Live()
		groups := publishGroups(live)
		var reached []citron.VMName
		for _, group := range groups {
			reached = append(reached, group...)
		}
		slices.Sort(reached)
		slices.Sort(live)
		if !slices.Equal(reached, live) || n > maxPublishTargets && len(groups) > n/2 {
			t.Errorf("%d daemons: groups %v, want each daemon once and at most half as many groups", n, groups)
		}
	}
}

func TestHolderGetsJobsWithoutPayloadInLargeCells(t *testing.T) {
	value, err := proto.Marshal(&work.Job{ID: "j", Payload: "p", Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	full := citron.KeyedRecord{Key: pool.JobKey + "j", Value: value}
	if got := newRelayDaemon(t, 5, 48).brief(full); got.Key != full.Key {
		t.Errorf("record %q in a small cell, want it unchanged", got.Key)
	}
	d := newRelayDaemon(t, 46, 370)
	got := d.brief(full)
	var job work.Job
	if err := proto.Unmarshal(got.Value, &job); err != nil || got.Key != pool.BriefKey+"j" || job.GetPayload() != "" || !job.GetPayloadOmitted() || job.GetQueue() != "q" {
		t.Errorf("record %q with job %v, error %v; want a brief without the payload", got.Key, &job, err)
	}
	cancelled := citron.KeyedRecord{Key: pool.CancelKey + "j", Value: []byte{1}}
	if got := d.brief(cancelled); got.Key != cancelled.Key {
		t.Errorf("cancellation becomes %q, want it unchanged", got.Key)
	}
}
