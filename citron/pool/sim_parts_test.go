package pool

import (
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/schema/work"
)

// simTasksPerRecord is the number of tasks in one record in simulations with parts.
const simTasksPerRecord = 2

// simSplits makes jobs need several records, which are stored in any order; holders are lost in between.
type simSplits struct {
	// parts are the newest records by key.
	parts map[string]*work.Part
	// lost counts the holders that were lost between two records of one plan.
	lost int
}

// widen gives a job more tasks and some jobs several occurrences.
func (s *simSplits) widen(w *world, j *work.Job) {
	if s == nil {
		return
	}
	for _, step := range j.GetSteps() {
		step.Tasks = 1 + int32(w.rng.IntN(7))
		step.MilliCores = 1000
	}
	if w.chance(0.3) {
		j.Schedule = &work.Schedule{FirstMs: w.now.Wall.UnixMilli(), IntervalMs: 700, Repeats: 2}
	}
}

// overlap returns the number of appends that may be under way beside another.
func (s *simSplits) overlap() int {
	if s == nil {
		return 0
	}
	return 1
}

// partsOf returns the stored parts of a job.
func (s *simSplits) partsOf(id string) (list []*work.Part) {
	if s == nil {
		return nil
	}
	for _, key := range sortedKeys(s.parts) {
		if strings.HasPrefix(key, PartKey+id+"/") {
			list = append(list, s.parts[key])
		}
	}
	return list
}

func sortedKeys(parts map[string]*work.Part) (keys []string) {
	for key := range parts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// storeSplit stores the records of a plan one after the other, in any order. It returns false if the holder is lost in between.
func (h *simHolder) storeSplit(records []citron.KeyedRecord) (all bool) {
	w := h.world
	records = slices.Clone(records)
	w.rng.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
	for n, r := range records {
		if n > 0 && !w.recovering() && w.chance(0.02) {
			h.dead = true
			w.splits.lost++
			w.schedule(time.Duration(w.rng.IntN(2000))*time.Millisecond, w.claim)
			return false
		}
		w.storeRecord(r)
	}
	return true
}

// storeRecord stores a record unless a newer one is stored.
func (w *world) storeRecord(r citron.KeyedRecord) {
	if strings.HasPrefix(r.Key, PartKey) {
		part := &work.Part{}
		if err := proto.Unmarshal(r.Value, part); err != nil {
			w.violation = err.Error()
		}
		if known := w.splits.parts[r.Key]; known == nil || known.GetEpoch() < part.GetEpoch() || known.GetEpoch() == part.GetEpoch() && known.GetNumber() < part.GetNumber() {
			w.splits.parts[r.Key] = part
		}
		if len(part.GetTasks()) > simTasksPerRecord {
			w.fail("record %s holds %d tasks", r.Key, len(part.GetTasks()))
		}
		return
	}
	progress := &work.Progress{}
	if err := proto.Unmarshal(r.Value, progress); err != nil {
		w.violation = err.Error()
	}
	w.checkState(progress)
	known := w.stored[progress.GetJobID()]
	if known == nil || known.GetEpoch() < progress.GetEpoch() || known.GetEpoch() == progress.GetEpoch() && known.GetNumber() < progress.GetNumber() {
		w.stored[progress.GetJobID()] = progress
	}
}

// simulateSplits runs one simulation of jobs whose progress is in several records.
func simulateSplits(seed uint64, m mutant) (violation string, lost int) {
	w := newWorld(seed, m, nil)
	w.splits = &simSplits{parts: map[string]*work.Part{}}
	return w.run(), w.splits.lost
}

// splitSeeds have failed before: the first four with a job whose end was not recorded when all its parts were, the last with parts that
// replaced those of an occurrence which the stored progress still listed.
var splitSeeds = []uint64{1045, 1122, 1258, 1278, 1317}

func seedsUpTo(count uint64) (seeds []uint64) {
	for seed := range count {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestHolderLostBetweenRecordsOfAJob guards against a holder that leaves only some of the records of a large job behind, after which its
// tasks are started twice or never.
func TestHolderLostBetweenRecordsOfAJob(t *testing.T) {
	lost := 0
	for _, seed := range append(splitSeeds, seedsUpTo(simulationSeeds)...) {
		violation, holders := simulateSplits(seed, noMutant)
		if lost += holders; violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if lost < simulationSeeds/4 {
		t.Errorf("%d holders were lost between two records, want at least %d", lost, simulationSeeds/4)
	}
}

func TestMutantsOfRecordsOfLargeJobsAreDetected(t *testing.T) {
	for name, m := range map[string]mutant{
		"starts before the parts are listed": startsUnlisted,
		"starts before their record":         startsBeforeRecord,
		"acks before their record":           acksBeforeRecord,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5 * simulationSeeds) {
				if violation, _ := simulateSplits(seed, m); violation != "" {
					return
				}
			}
			t.Error("no simulation of the mutant violated an invariant, want at least one")
		})
	}
}
