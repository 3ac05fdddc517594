package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/admin"
)

// requestTimeout limits one request to a daemon.
const requestTimeout = 3 * time.Second

// statuses is the JSON output of the status command.
type statuses struct {
	Daemons []*admin.Status
	// Silent lists the admin addresses that did not answer.
	Silent []string
}

// queryDaemons requests the status of the daemons in --admin and of every daemon that they know.
func queryDaemons(f flags) statuses {
	client := wire.NewClient("admin", 2)
	var all statuses
	queried := map[string]bool{}
	queue := append([]string(nil), *f.admin...)
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if queried[address] {
			continue
		}
		queried[address] = true
		var s admin.Status
		if err := get(client, address, "/v1/status", &s); err != nil {
			all.Silent = append(all.Silent, address)
			continue
		}
		all.Daemons = append(all.Daemons, &s)
		for _, d := range s.GetDaemons() {
			queue = append(queue, d.GetAdminAddress())
		}
	}
	sort.Slice(all.Daemons, func(i, j int) bool { return all.Daemons[i].GetVM() < all.Daemons[j].GetVM() })
	return all
}

// get requests path from the admin port at address and decodes the answer into out.
func get(client *wire.Client, address, path string, out proto.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return client.Do(ctx, http.MethodGet, "http://"+address+path, nil, out)
}

func statusCommand(app *kingpin.Application, f flags) command {
	clause := app.Command("status", "Show every daemon: configuration, shards, slots, queues and leases.")
	return command{clause: clause, run: func() int {
		all := queryDaemons(f)
		if len(all.Daemons) == 0 {
			return fail(exitFailed, "no daemon answers at %v; give --admin IP:port", *f.admin)
		}
		return show(f, all, statusText(all))
	}}
}

func statusText(all statuses) string {
	rows := [][]string{{"DAEMON", "DOMAIN", "STATE", "CONFIG", "TEMPLATES", "OWNS", "ACTIVE", "STANDBY", "SHORTEST LEASE", "SLOTS FREE", "QUEUED", "JOBS"}}
	for _, d := range all.Daemons {
		owns, active, standby, lease := shardCounts(d)
		free, slots, queued := slotCounts(d)
		rows = append(rows, []string{
			d.GetVM(), d.GetFailureDomain(), stateText(d), fmt.Sprint(d.GetTemplatesNext()), templatesText(d),
			fmt.Sprint(owns), fmt.Sprint(active), fmt.Sprint(standby), lease,
			fmt.Sprintf("%d/%d", free, slots), fmt.Sprint(queued), fmt.Sprint(d.GetOpenJobs()),
		})
	}
	text := table(rows)
	for _, address := range all.Silent {
		text += "no answer from " + address + "\n"
	}
	return text
}

// shardCounts returns the numbers of owned, active and standby shards and the shortest lease of the owned ones.
func shardCounts(d *admin.Status) (owns, active, standby int, lease string) {
	shortest := int64(-1)
	for _, s := range d.GetShards() {
		if s.GetActive() {
			active++
		}
		if s.GetOwner() != d.GetVM() {
			standby++
			continue
		}
		owns++
		if left := s.GetLeaseLeftMs(); left >= 0 && (shortest < 0 || left < shortest) {
			shortest = left
		}
	}
	if shortest < 0 {
		return owns, active, standby, "-"
	}
	return owns, active, standby, fmt.Sprintf("%d ms", shortest)
}

// slotCounts returns the slots and the queued calls of all services.
func slotCounts(d *admin.Status) (free, slots, queued int64) {
	for _, s := range d.GetServices() {
		free += s.GetFree()
		slots += s.GetSlots()
		queued += s.GetQueued()
	}
	return free, slots, queued
}

func stateText(d *admin.Status) string {
	switch {
	case d.GetStopping():
		return "stopping"
	case d.GetReady():
		return "ready"
	}
	return "starting"
}

func templatesText(d *admin.Status) string {
	var all []string
	for _, t := range d.GetTemplates() {
		all = append(all, fmt.Sprintf("%s@%d", t.GetTeam(), t.GetVersion()))
	}
	return strings.Join(all, ",")
}

func shardsCommand(app *kingpin.Application, f flags) command {
	clause := app.Command("shards", "Show every shard with its owner, standby, epoch and lease.")
	return command{clause: clause, run: func() int {
		all := queryDaemons(f)
		var shards []*admin.Shard
		for _, d := range all.Daemons {
			for _, s := range d.GetShards() {
				if s.GetOwner() == d.GetVM() {
					shards = append(shards, s)
				}
			}
		}
		sort.Slice(shards, func(i, j int) bool { return shards[i].GetShard() < shards[j].GetShard() })
		rows := [][]string{{"SHARD", "EPOCH", "OWNER", "STANDBY", "ACTIVE", "LEASE LEFT"}}
		for _, s := range shards {
			rows = append(rows, []string{
				s.GetShard(), fmt.Sprint(s.GetEpoch()), s.GetOwner(), s.GetStandby(), fmt.Sprint(s.GetActive()),
				fmt.Sprintf("%d ms", s.GetLeaseLeftMs()),
			})
		}
		return show(f, shards, table(rows))
	}}
}

func explainCommand(app *kingpin.Application, f flags) command {
	clause := app.Command("explain", "Show why a job waits or where it ran.")
	team := clause.Arg("team", "Team.").Required().String()
	job := clause.Arg("job", "Job id.").Required().String()
	return command{clause: clause, run: func() int {
		client := wire.NewClient("admin", 2)
		var e admin.Explanation
		path := fmt.Sprintf("/v1/teams/%s/jobs/%s/explain", *team, *job)
		if err := get(client, (*f.admin)[0], path, &e); err != nil {
			return fail(exitNotFound, "%v", err)
		}
		return show(f, &e, strings.Join(e.GetLines(), "\n")+"\n")
	}}
}

func drainCommand(app *kingpin.Application) command {
	clause := app.Command("drain", "Stop a daemon gracefully: it hands over its shards and completes requests in flight.")
	address := clause.Arg("address", "Admin IP:port of the daemon.").Required().String()
	return command{clause: clause, run: func() int {
		client := wire.NewClient("admin", 2)
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		if err := client.Do(ctx, http.MethodPost, "http://"+*address+"/v1/drain", nil, nil); err != nil {
			return fail(exitFailed, "%v", err)
		}
		fmt.Printf("daemon at %s drains\n", *address)
		return exitOK
	}}
}
