package load

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/citroncross/citroncross/schema/prefs"
)

// Row is the result of one stream of calls. A wait is the answer time minus the run time, in milliseconds.
type Row struct {
	Team, Class string
	Calls       int
	Done        int
	NotRun      int
	Unknown     int
	Errors      int
	WaitP50     float64
	WaitP99     float64
	WaitMax     float64
	// OmniP99 is the 99th percentile of the waits in the omniscient queue, Ratio is WaitP99 / OmniP99.
	OmniP99 float64
	Ratio   float64
	// RefusedP99 is the 99th percentile of the answer times of refused calls, in milliseconds.
	RefusedP99 float64
	// CameBack counts the calls that were not served and got a retry delay, Served counts those that a retry served.
	CameBack int
	Served   int
	// GoodPerSecond is the run time of served calls per second of the measured time, which is the mean number of slots
	// that they occupied.
	GoodPerSecond float64

	waits *hdrhistogram.Histogram
}

// Report is the result of one load run.
type Report struct {
	Name  string
	Seed  int64
	Slots int
	Rows  []Row
	// StealPercent is the share of CPU time that the hypervisor gave to other VMs during the load, BusyPercent the share
	// that was used. With steal, the waits say little about the scheduler.
	StealPercent float64
	BusyPercent  float64
	// Goodput is the share of all slots that served calls occupied.
	Goodput float64
}

// maxRecordable is the highest value of the histograms, in microseconds.
const maxRecordable = int64(10 * time.Minute / time.Microsecond)

// Measure aggregates the calls that arrived after the warm-up. Omni holds the waits returned by Omniscient.
func Measure(name string, settings *prefs.Load, slots int, calls []Call, omni []time.Duration) Report {
	report := Report{Name: name, Seed: settings.GetSeed(), Slots: slots}
	warmUp := time.Duration(settings.GetWarmUpMs()) * time.Millisecond
	seconds := float64(settings.GetDurationMs()) / 1000
	for n, a := range settings.GetArrivals() {
		row := measureRow(n, calls, omni, warmUp, warmUp+time.Duration(settings.GetDurationMs())*time.Millisecond)
		row.Team, row.Class = a.GetTeam(), a.GetClass()
		row.GoodPerSecond /= seconds
		report.Goodput += row.GoodPerSecond / float64(slots)
		report.Rows = append(report.Rows, row)
	}
	return report
}

// measureRow aggregates the calls of one stream. Calls that arrived during the warm-up count towards the goodput only,
// with the part of their runs that lies in the measured time.
func measureRow(stream int, calls []Call, omni []time.Duration, warmUp, end time.Duration) (row Row) {
	waits := hdrhistogram.New(1, maxRecordable, 3)
	reference := hdrhistogram.New(1, maxRecordable, 3)
	refused := hdrhistogram.New(1, maxRecordable, 3)
	for n, c := range calls {
		if c.Stream != stream {
			continue
		}
		if c.At < warmUp {
			if c.Outcome == "Done" {
				row.GoodPerSecond += runOverlap(c, warmUp, end).Seconds()
			}
			continue
		}
		row.Calls++
		if omni[n] >= 0 {
			_ = reference.RecordValue(max(omni[n].Microseconds(), 1))
		}
		if c.Outcome != "Done" && c.RetryAfter > 0 {
			row.CameBack++
		}
		if c.RetryServed {
			row.Served++
		}
		switch c.Outcome {
		case "Done":
			row.Done++
			row.GoodPerSecond += runOverlap(c, warmUp, end).Seconds()
			_ = waits.RecordValue(max((c.AnswerTime - c.RunTime).Microseconds(), 1))
		case "NotRun":
			row.NotRun++
			_ = refused.RecordValue(max(c.AnswerTime.Microseconds(), 1))
		case "Unknown":
			row.Unknown++
		default:
			row.Errors++
		}
	}
	row.waits = waits
	row.WaitP50 = percentileMs(waits, 50)
	row.WaitP99 = percentileMs(waits, 99)
	row.WaitMax = percentileMs(waits, 100)
	row.OmniP99 = percentileMs(reference, 99)
	row.RefusedP99 = percentileMs(refused, 99)
	row.Ratio = row.WaitP99 / max(row.OmniP99, 0.001)
	return row
}

// runOverlap returns the part of a served call's run between two times. The run is assumed to end with the answer.
func runOverlap(c Call, from, to time.Duration) time.Duration {
	ended := c.At + c.AnswerTime
	return max(min(ended, to)-max(ended-c.RunTime, from), 0)
}

// percentileMs returns a percentile of values in microseconds, in milliseconds.
func percentileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// Table returns the report as a text table.
func (r Report) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s: seed %d, %d slots, goodput %.3f, machine busy %.0f %%, stolen %.0f %%\n",
		r.Name, r.Seed, r.Slots, r.Goodput, r.BusyPercent, r.StealPercent)
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tcalls\tdone\tnot run\tunknown\terrors\twait p50 ms\tp99\tmax\tomniscient p99\tratio\trefused p99\tcame back\tserved\t")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s/%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n",
			row.Team, row.Class, row.Calls, row.Done, row.NotRun, row.Unknown, row.Errors,
			row.WaitP50, row.WaitP99, row.WaitMax, row.OmniP99, row.Ratio, row.RefusedP99, row.CameBack, row.Served)
	}
	_ = w.Flush()
	return out.String()
}

// JSON returns the report as JSON.
func (r Report) JSON() ([]byte, error) {
	return json.MarshalIndent(r, "", "  ")
}

// Plot writes a plot of the waits by percentile; the file extension selects the format.
func (r Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "wait, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{}
	for n, row := range r.Rows {
		points := plotter.XYs{}
		for percent := 1.0; percent < 100; percent++ {
			points = append(points, plotter.XY{X: percent, Y: max(percentileMs(row.waits, percent), 0.01)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Width = vg.Points(1.5)
		line.Dashes = []vg.Length{vg.Points(float64(4 * n))}
		p.Add(line)
		p.Legend.Add(row.Team+"/"+row.Class, line)
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
