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
	// upkeepInterval is the pause between two rounds of the open waves; each round reads the list of machines.
	upkeepInterval = 250 * time.Millisecond
	// machinesTimeout bounds one request to the machine service or report to the operator.
	machinesTimeout = time.Second
	// waveKeyPrefix begins the keys of the waves' progress records.
	waveKeyPrefix = "wave/"
)

// SetWave adds an upkeep wave. A wave that is already known stays unchanged.
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

// applyWave applies a holder's progress record of a wave. A late record of an earlier holder is ignored.
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

// waveRunner carries out the upkeep waves in one epoch of the pool.
type waveRunner struct {
	d     *Daemon
	pool  *pool.Pool
	epoch citron.Epoch
	open  map[int64]*upkeep.Wave
	// reported holds the waves that have been reported to the operator as running.
	reported map[int64]bool
}

// runWaves carries out waves until the context ends. It sends no order before Settings.MachineLease has passed, since
// the former holder may have sent one a moment ago.
func (d *Daemon) runWaves(ctx context.Context, epoch citron.Epoch, p *pool.Pool) {
	u := &waveRunner{d: d, pool: p, epoch: epoch, open: map[int64]*upkeep.Wave{}, reported: map[int64]bool{}}
	timer.Pause(ctx, d.Timer, d.Settings.MachineLease)
	for ctx.Err() == nil {
		u.openWaves()
		if len(u.open) > 0 {
			if err := u.runRound(ctx); errors.Is(err, citron.ErrFenced) {
				return
			}
		}
		timer.Pause(ctx, d.Timer, upkeepInterval)
	}
}

// openWaves opens the waves that are neither open nor recorded as completed.
func (u *waveRunner) openWaves() {
	now := u.d.Timer.Now().Boot
	u.d.mu.Lock()
	defer u.d.mu.Unlock()
	for n, spec := range u.d.waves {
		recorded := u.d.waveProgress[n]
		if _, open := u.open[n]; open || recorded.GetCompleted() {
			continue
		}
		u.open[n] = upkeep.New(spec, upkeep.Progress{Ordered: machineSet(recorded.GetAsked()), Begun: machineSet(recorded.GetDone())}, now)
	}
}

func machineSet(names []string) map[citron.Machine]bool {
	s := map[citron.Machine]bool{}
	for _, n := range names {
		s[citron.Machine(n)] = true
	}
	return s
}

// runRound reads the list of machines and carries out the actions of the open waves.
func (u *waveRunner) runRound(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, machinesTimeout)
	list, err := u.d.Machines.List(bounded)
	cancel()
	if err != nil {
		u.d.exchangeFailed("machines", err)
		return nil
	}
	machines := map[citron.Machine]upkeep.MachineStatus{}
	for _, m := range list {
		machines[m.Machine] = upkeep.MachineStatus{State: m.State, Worker: m.Worker, Tasks: u.pool.RunCount(m.Worker)}
	}
	defer u.cordon(machines)
	for n, w := range u.open {
		if !u.reported[n] {
			u.reported[n] = u.report(ctx, n, false)
		}
		actions, complete := w.Plan(u.d.Timer.Now().Boot, u.d.Settings.UpkeepDuration, machines)
		for _, a := range actions {
			if err := u.execute(ctx, w, a); err != nil {
				return err
			}
		}
		if complete && u.report(ctx, n, true) {
			w.Progress.Completed = true
			if u.saveProgress(ctx, w) {
				delete(u.open, n)
			}
		}
	}
	return nil
}

// cordon keeps new tasks off the machines that the open waves are draining or have ordered down.
func (u *waveRunner) cordon(machines map[citron.Machine]upkeep.MachineStatus) {
	var ids []citron.Worker
	for _, w := range u.open {
		for _, m := range w.Cordoned() {
			ids = append(ids, machines[m].Worker)
		}
	}
	u.pool.Cordon(ids)
}

// execute evicts the tasks of a machine or orders its upkeep. An order is recorded before it is sent, so that the next
// holder repeats it.
func (u *waveRunner) execute(ctx context.Context, w *upkeep.Wave, a upkeep.Action) error {
	if a.Evict {
		u.pool.EvictTasks(u.d.Timer.Now(), a.Worker)
		return nil
	}
	if w.MarkOrdered(a.Machine) && !u.saveProgress(ctx, w) {
		w.MarkRefused(a.Machine)
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	outcome, err := u.d.Machines.Upkeep(bounded, citron.UpkeepOrder{Machine: a.Machine, Wave: w.Spec.Number, Holder: u.d.self.VM, Epoch: u.epoch})
	u.d.Log.Emit(event.UpkeepOrdered, event.Fields{"Wave": w.Spec.Number, "Machine": a.Machine, "Worker": a.Worker, "Outcome": outcome.String(), "Epoch": u.epoch})
	switch outcome {
	case citron.UpkeepBegan, citron.UpkeepNotApplicable:
		w.MarkBegun(u.d.Timer.Now().Boot, a.Machine)
		u.saveProgress(ctx, w)
	case citron.UpkeepBusy:
		w.MarkRefused(a.Machine)
	case citron.UpkeepFenced:
		return citron.ErrFenced
	}
	if err != nil {
		u.d.exchangeFailed("upkeep", err)
	}
	return nil
}

// report tells the operator whether a wave is running or completed, and returns whether that succeeded.
func (u *waveRunner) report(ctx context.Context, n int64, completed bool) bool {
	bounded, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	if err := u.d.Machines.ReportWave(bounded, n, completed); err != nil {
		u.d.exchangeFailed("report", err)
		return false
	}
	u.d.Log.Emit(event.WaveReported, event.Fields{"Wave": n, "Completed": completed})
	return true
}

// saveProgress stores the progress of a wave and reports whether it succeeded. It fails if another daemon has appended
// to the cell's records meanwhile; the next round tries again.
func (u *waveRunner) saveProgress(ctx context.Context, w *upkeep.Wave) bool {
	next, _ := u.d.cell.Next()
	if u.d.newestClaim().Epoch != u.epoch {
		return false
	}
	value, err := proto.Marshal(&work.WaveProgress{
		Number: w.Spec.Number, Epoch: uint64(u.epoch), Asked: machineNames(w.Progress.Ordered), Done: machineNames(w.Progress.Begun), Completed: w.Progress.Completed,
	})
	if err != nil {
		u.d.exchangeFailed("record", err)
		return false
	}
	key := waveKeyPrefix + fmt.Sprint(w.Spec.Number)
	if err := u.d.appendCell(ctx, citron.Condition{ExpectedOffset: &next}, citron.KeyedRecord{Key: key, Value: value}); err != nil {
		u.d.exchangeFailed("record", err)
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	// The next conditional append needs the offset after this record.
	return u.d.cell.WaitFor(bounded, next+1) == nil
}

func machineNames(s map[citron.Machine]bool) (list []string) {
	for _, m := range slices.Sorted(maps.Keys(s)) {
		list = append(list, string(m))
	}
	return list
}
