package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/event"
	"github.com/citroncross/citroncross/citron/pool"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/citron/upkeep"
	"github.com/citroncross/citroncross/schema/work"
)

const (
	// upkeepEvery is how often open waves are looked at; each look reads the list of machines.
	upkeepEvery = 250 * time.Millisecond
	// machinesTimeout bounds one call about machines.
	machinesTimeout = time.Second
	// waveKey begins the keys of the waves' records.
	waveKey = "wave/"
)

// SetWave takes in a wave of upkeep. A wave that is known stays as it is.
func (d *Daemon) SetWave(w citron.Wave) {
	d.mu.Lock()
	_, known := d.waves[w.Number]
	if !known {
		if d.waves == nil {
			d.waves = map[int64]citron.Wave{}
		}
		d.waves[w.Number] = w
	}
	d.mu.Unlock()
	if !known {
		d.Log.Emit(event.WaveRequested, event.Fields{"Wave": w.Number, "Machines": len(w.Machines), "Within": w.TimeLimit.String(), "Most": w.MaxDown})
	}
}

// applyWave takes in how far a holder has got. A record of an earlier holder that landed late is passed over.
func (d *Daemon) applyWave(r citron.KeyedRecord) {
	var p work.WaveProgress
	if err := proto.Unmarshal(r.Value, &p); err != nil {
		d.view.Unreadable(r.Key, err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waveProgress == nil {
		d.waveProgress = map[int64]*work.WaveProgress{}
	}
	if old := d.waveProgress[p.GetNumber()]; old.GetEpoch() <= p.GetEpoch() {
		d.waveProgress[p.GetNumber()] = &p
	}
}

// waves carries out the waves of upkeep in one epoch of the pool.
type waves struct {
	d     *Daemon
	pool  *pool.Pool
	epoch citron.Epoch
	open  map[int64]*upkeep.Wave
	// reported are the waves that the operator knows to be under way.
	reported map[int64]bool
}

// runWaves works until the context ends. It gives no order before Settings.MachineLease has passed, since the former
// holder may have given its last one just now.
func (d *Daemon) runWaves(ctx context.Context, epoch citron.Epoch, p *pool.Pool) {
	u := &waves{d: d, pool: p, epoch: epoch, open: map[int64]*upkeep.Wave{}, reported: map[int64]bool{}}
	timer.Pause(ctx, d.Timer, d.Settings.MachineLease)
	for ctx.Err() == nil {
		u.openNew()
		if len(u.open) > 0 {
			if err := u.round(ctx); errors.Is(err, citron.ErrFenced) {
				return
			}
		}
		timer.Pause(ctx, d.Timer, upkeepEvery)
	}
}

// openNew opens the waves that are not completed.
func (u *waves) openNew() {
	now := u.d.Timer.Now().Boot
	u.d.mu.Lock()
	defer u.d.mu.Unlock()
	for n, spec := range u.d.waves {
		recorded := u.d.waveProgress[n]
		if _, open := u.open[n]; open || recorded.GetCompleted() {
			continue
		}
		u.open[n] = upkeep.New(spec, upkeep.Progress{Ordered: set(recorded.GetAsked()), Begun: set(recorded.GetDone())}, now)
	}
}

func set(names []string) map[citron.Machine]bool {
	s := map[citron.Machine]bool{}
	for _, n := range names {
		s[citron.Machine(n)] = true
	}
	return s
}

// round looks at the machines once and does what the open waves need.
func (u *waves) round(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, machinesTimeout)
	list, err := u.d.Machines.List(bounded)
	cancel()
	if err != nil {
		u.d.exchangeFailed("machines", err)
		return nil
	}
	hosts := map[citron.Machine]upkeep.MachineStatus{}
	for _, m := range list {
		hosts[m.Machine] = upkeep.MachineStatus{State: m.State, Worker: m.Worker, Tasks: u.pool.RunCount(m.Worker)}
	}
	defer u.cordon(hosts)
	for n, w := range u.open {
		if !u.reported[n] {
			u.reported[n] = u.report(ctx, n, false)
		}
		steps, complete := w.Plan(u.d.Timer.Now().Boot, u.d.Settings.UpkeepDuration, hosts)
		for _, s := range steps {
			if err := u.do(ctx, w, s); err != nil {
				return err
			}
		}
		if complete && u.report(ctx, n, true) {
			w.Progress.Completed = true
			if u.record(ctx, w) {
				delete(u.open, n)
			}
		}
	}
	return nil
}

// cordon keeps new tasks off the machines that are about to go down.
func (u *waves) cordon(hosts map[citron.Machine]upkeep.MachineStatus) {
	var ids []citron.Worker
	for _, w := range u.open {
		for _, m := range w.Cordoned() {
			ids = append(ids, hosts[m].Worker)
		}
	}
	u.pool.Cordon(ids)
}

// do empties a machine or takes it down. That it is asked for is recorded before, so that the next holder finishes it.
func (u *waves) do(ctx context.Context, w *upkeep.Wave, s upkeep.Action) error {
	if s.Evict {
		u.pool.EvictTasks(u.d.Timer.Now(), s.Worker)
		return nil
	}
	if w.MarkOrdered(s.Machine) && !u.record(ctx, w) {
		w.MarkRefused(s.Machine)
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	outcome, err := u.d.Machines.Upkeep(bounded, citron.UpkeepOrder{Machine: s.Machine, Wave: w.Spec.Number, Holder: u.d.self.VM, Epoch: u.epoch})
	u.d.Log.Emit(event.UpkeepOrdered, event.Fields{"Wave": w.Spec.Number, "Machine": s.Machine, "Worker": s.Worker, "Outcome": outcome.String(), "Epoch": u.epoch})
	switch outcome {
	case citron.UpkeepBegan, citron.UpkeepNotApplicable:
		w.MarkBegun(u.d.Timer.Now().Boot, s.Machine)
		u.record(ctx, w)
	case citron.UpkeepBusy:
		w.MarkRefused(s.Machine)
	case citron.UpkeepFenced:
		return citron.ErrFenced
	}
	if err != nil {
		u.d.exchangeFailed("upkeep", err)
	}
	return nil
}

func (u *waves) report(ctx context.Context, n int64, completed bool) bool {
	bounded, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	if err := u.d.Machines.ReportWave(bounded, n, completed); err != nil {
		u.d.exchangeFailed("report", err)
		return false
	}
	u.d.Log.Emit(event.WaveReported, event.Fields{"Wave": n, "Completed": completed})
	return true
}

// record stores how far a wave has got. It fails where another daemon has written meanwhile; the next round tries again.
func (u *waves) record(ctx context.Context, w *upkeep.Wave) bool {
	next, _ := u.d.cell.Next()
	if u.d.newest().Epoch != u.epoch {
		return false
	}
	value, err := proto.Marshal(&work.WaveProgress{
		Number: w.Spec.Number, Epoch: uint64(u.epoch), Asked: names(w.Progress.Ordered), Done: names(w.Progress.Begun), Completed: w.Progress.Completed,
	})
	if err != nil {
		u.d.exchangeFailed("record", err)
		return false
	}
	key := waveKey + fmt.Sprint(w.Spec.Number)
	if err := u.d.appendCell(ctx, citron.KeyedRecord{Key: key, Value: value}, citron.Condition{ExpectedOffset: &next}); err != nil {
		u.d.exchangeFailed("record", err)
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, claimSettle)
	defer cancel()
	// The next record needs the offset behind this one.
	return u.d.cell.WaitFor(bounded, next+1) == nil
}

func names(s map[citron.Machine]bool) (list []string) {
	for _, m := range slices.Sorted(maps.Keys(s)) {
		list = append(list, string(m))
	}
	return list
}
