package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/citroncross/citroncross/schema/link"
)

// estateCommands returns the commands that inspect daemons on the users' platform, which keep their state in the
// platform's store, over their peer ports.
func estateCommands(app *kingpin.Application, f flags) []command {
	estate := app.Command("estate", "Inspect the daemons that run on the users' platform.")
	peers := estate.Flag("peer", "IP:port of a daemon's peer port; may be repeated.").Envar("CITRON_PEER").Required().Strings()
	return []command{estateStatus(estate, f, peers), estateWorkers(estate, f, peers), estateExplain(estate, f, peers)}
}

// daemons is the JSON output of estate status.
type daemons struct {
	Daemons []*link.StatusReply
	// Silent lists the peer addresses that did not answer.
	Silent []string
}

// callDaemon connects to the daemon at address and runs one exchange with it.
func callDaemon(address string, exchange func(context.Context, link.LinkClient) error) (err error) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return exchange(ctx, link.NewLinkClient(conn))
}

// queryEstate requests the status of the daemons at seeds and of every daemon that they know. It also returns the
// addresses of all these daemons.
func queryEstate(seeds []string) (all daemons, addresses []string) {
	addresses = slices.Clone(seeds)
	for n := 0; n < len(addresses); n++ {
		var reply *link.StatusReply
		err := callDaemon(addresses[n], func(ctx context.Context, c link.LinkClient) (err error) {
			reply, err = c.Status(ctx, &link.StatusRequest{})
			return err
		})
		if err != nil {
			all.Silent = append(all.Silent, addresses[n])
			continue
		}
		all.Daemons = append(all.Daemons, reply)
		for _, address := range reply.GetPeers() {
			if !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
	}
	slices.SortFunc(all.Daemons, func(a, b *link.StatusReply) int { return strings.Compare(a.GetVM(), b.GetVM()) })
	return all, addresses
}

// holder returns the lease holder of the pool: of the daemons that report to hold it, the one with the highest epoch.
// It returns nil if there is none.
func (d daemons) holder() (holder *link.StatusReply) {
	for _, s := range d.Daemons {
		if s.GetHolds() && s.GetEpoch() >= holder.GetEpoch() {
			holder = s
		}
	}
	return holder
}

func estateStatus(parent *kingpin.CmdClause, f flags, peers *[]string) command {
	clause := parent.Command("status", "Show every daemon, the holder of the pool and the backlog of each queue.")
	return command{clause: clause, run: func() int {
		all, _ := queryEstate(*peers)
		if len(all.Daemons) == 0 {
			return fail(exitFailed, "no daemon answers at %v", *peers)
		}
		return show(f, all, estateText(all))
	}}
}

func estateText(all daemons) string {
	rows := [][]string{{"DAEMON", "DOMAIN", "STATE", "CONFIG", "STORE ANSWERED", "HOLDER", "EPOCH"}}
	for _, d := range all.Daemons {
		state := "not ready"
		switch {
		case d.GetStopping():
			state = "stopping"
		case d.GetHolds():
			state = "holds the pool"
		case d.GetReady():
			state = "ready"
		}
		age := "never"
		if d.GetStoreAgeMs() >= 0 {
			age = fmt.Sprintf("%d ms ago", d.GetStoreAgeMs())
		}
		rows = append(rows, []string{d.GetVM(), d.GetFailureDomain(), state, fmt.Sprint(d.GetConfigVersion()), age, d.GetHolder(), fmt.Sprint(d.GetEpoch())})
	}
	text := table(rows)
	for _, address := range all.Silent {
		text += "no answer from " + address + "\n"
	}
	holder := all.holder()
	if holder == nil {
		return text + "no daemon holds the pool\n"
	}
	rows = [][]string{{"QUEUE", "OPEN JOBS", "WAITING TASKS", "RUNNING TASKS"}}
	for _, q := range holder.GetQueues() {
		rows = append(rows, []string{q.GetQueue(), fmt.Sprint(q.GetOpenJobs()), fmt.Sprint(q.GetWaitingTasks()), fmt.Sprint(q.GetRunningTasks())})
	}
	return text + "\n" + table(rows) + teamsText(holder.GetTeams()) + pairsText(holder.GetPairs())
}

// teamsText returns the table of teams, empty if there are none. A maximum without limit is shown as "-".
func teamsText(teams []*link.TeamStatus) string {
	if len(teams) == 0 {
		return ""
	}
	limit := func(used, most string, limited bool) string {
		if !limited {
			most = "-"
		}
		return used + "/" + most
	}
	rows := [][]string{{"TEAM", "WEIGHT", "CORES", "MEMORY MB", "ACCELERATORS", "WAITING TASKS", "RUNNING TASKS", "REFUSED"}}
	for _, t := range teams {
		refused := "-"
		if t.GetRefusedMs() > 0 {
			refused = fmt.Sprintf("waits %.1f s", float64(t.GetRefusedMs())/1000)
		}
		rows = append(rows, []string{
			t.GetTeam(), fmt.Sprint(t.GetWeight()),
			limit(fmt.Sprintf("%.1f", cores(t.GetUsedMilliCores())), fmt.Sprintf("%.1f", cores(t.GetMaxMilliCores())), t.GetMaxMilliCores() > 0),
			limit(fmt.Sprint(t.GetUsedMemoryMb()), fmt.Sprint(t.GetMaxMemoryMb()), t.GetMaxMemoryMb() > 0),
			limit(fmt.Sprint(t.GetUsedAccelerators()), fmt.Sprint(t.GetMaxAccelerators()), t.GetMaxAccelerators() > 0),
			fmt.Sprint(t.GetWaitingTasks()), fmt.Sprint(t.GetRunningTasks()), refused,
		})
	}
	return "\n" + table(rows)
}

// pairsText returns the table of kinds of task that slow each other down, empty if there are none.
func pairsText(pairs []*link.PairStatus) string {
	if len(pairs) == 0 {
		return ""
	}
	rows := [][]string{{"KIND", "SLOWED BY", "FACTOR", "RUNS WITH", "WITHOUT", "SINCE"}}
	for _, p := range pairs {
		since := (time.Duration(p.GetSinceMs()) * time.Millisecond).Round(time.Second)
		rows = append(rows, []string{p.GetSlowed(), p.GetBy(), fmt.Sprintf("%.2f", p.GetFactor()), fmt.Sprint(p.GetWith()), fmt.Sprint(p.GetWithout()), since.String()})
	}
	return "\n" + table(rows)
}

func estateWorkers(parent *kingpin.CmdClause, f flags, peers *[]string) command {
	clause := parent.Command("workers", "Show the state of every worker at the holder of the pool.")
	return command{clause: clause, run: func() int {
		all, _ := queryEstate(*peers)
		holder := all.holder()
		if holder == nil {
			return fail(exitFailed, "no daemon that answers holds the pool")
		}
		rows := [][]string{{"WORKER", "RACK", "SERVICE", "STATE", "TASKS", "CORES", "MEMORY MB", "ANSWERED", "SPEED"}}
		for _, w := range holder.GetWorkers() {
			rows = append(rows, []string{
				w.GetWorker(), w.GetRack(), w.GetService(), w.GetState(), fmt.Sprint(w.GetTasks()),
				fmt.Sprintf("%.1f/%.1f", cores(w.GetUsedMilliCores()), cores(w.GetMilliCores())),
				fmt.Sprintf("%d/%d", w.GetUsedMemoryMb(), w.GetMemoryMb()), fmt.Sprintf("%d ms ago", w.GetSilentMs()),
				fmt.Sprintf("%.2f %s (%d runs)", w.GetSpeed(), w.GetSpeedClass(), w.GetSpeedRuns()),
			})
		}
		return show(f, holder.GetWorkers(), table(rows))
	}}
}

// cores converts thousandths of a core to cores.
func cores(milli int64) float64 { return float64(milli) / 1000 }

func estateExplain(parent *kingpin.CmdClause, f flags, peers *[]string) command {
	clause := parent.Command("explain", "Show where each task of a job is and what it waits for.")
	job := clause.Arg("job", "Job id.").Required().String()
	return command{clause: clause, run: func() int {
		_, addresses := queryEstate(*peers)
		reply, answered := explainJob(addresses, *job)
		switch {
		case !answered:
			return fail(exitFailed, "no daemon answers at %v", *peers)
		case !reply.GetKnown():
			return fail(exitNotFound, "no daemon that answers knows job %s", *job)
		}
		rows := [][]string{{"TASK", "STATE", "RUN", "WORKER", "SINCE", "FAILURES", "WAITS FOR"}}
		for _, t := range reply.GetTasks() {
			since := "-"
			if t.GetSinceMs() >= 0 {
				since = fmt.Sprintf("%d ms", t.GetSinceMs())
			}
			rows = append(rows, []string{t.GetTask(), t.GetState(), fmt.Sprint(t.GetRun()), t.GetWorker(), since, fmt.Sprint(t.GetFailures()), t.GetReason()})
		}
		source := "the store"
		if reply.GetHolds() {
			source = "the pool"
		}
		return show(f, reply, fmt.Sprintf("job %s of queue %s is %s, says %s\n%s", *job, reply.GetQueue(), reply.GetState(), source, table(rows)))
	}}
}

// explainJob returns the answer of the pool's holder, which knows the most, or else of any daemon that knows the job.
// Answered is set if any daemon has answered.
func explainJob(addresses []string, job string) (best *link.ExplainReply, answered bool) {
	for _, address := range addresses {
		var reply *link.ExplainReply
		err := callDaemon(address, func(ctx context.Context, c link.LinkClient) (err error) {
			reply, err = c.Explain(ctx, &link.ExplainRequest{JobID: job})
			return err
		})
		if err != nil {
			continue
		}
		answered = true
		if reply.GetHolds() {
			return reply, true
		}
		if reply.GetKnown() || best == nil {
			best = reply
		}
	}
	return best, answered
}
