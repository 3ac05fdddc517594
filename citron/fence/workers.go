package fence

import (
	"context"
	"errors"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Workers sends the orders of one holder with its tokens. Orders that a worker refuses because a later order of the same
// holder has overtaken them are sent again.
type Workers struct {
	// To sends the orders.
	To     citron.Workers
	Tokens Tokens
}

var _ citron.Workers = (*Workers)(nil)

// Start starts a run. It returns ErrFormerLife once a later life of the worker than the one in its entry has answered.
func (w *Workers) Start(ctx context.Context, to *citron.WorkerEntry, o citron.StartOrder) (outcome citron.StartOutcome, clock time.Duration, err error) {
	for ctx.Err() == nil {
		if w.Tokens.Outlived(to.ID, to.Incarnation) {
			return citron.StartUnknown, 0, errors.Join(citron.ErrRejected, citron.ErrFormerLife)
		}
		var ok bool
		if o.Epoch, ok = w.Tokens.Next(to.ID); !ok {
			return citron.StartFenced, 0, nil
		}
		outcome, clock, err = w.To.Start(ctx, to, o)
		switch {
		case outcome == citron.StartFenced && w.Tokens.Superseded(to.ID, o.Epoch):
			continue
		case outcome == citron.StartUnknown && mayArriveLate(err):
			w.Tokens.RecordUnanswered(to.ID, o.Epoch)
		}
		return outcome, clock, err
	}
	return citron.StartUnknown, 0, errors.Join(citron.ErrRejected, ctx.Err())
}

// Stop stops a run. A stop that arrives late does no harm: its run must not start in any life of the worker.
func (w *Workers) Stop(ctx context.Context, to *citron.WorkerEntry, o citron.StopOrder) (clock time.Duration, err error) {
	for ctx.Err() == nil {
		var ok bool
		if o.Epoch, ok = w.Tokens.Next(to.ID); !ok {
			return 0, citron.ErrFenced
		}
		clock, err = w.To.Stop(ctx, to, o)
		if !errors.Is(err, citron.ErrFenced) || !w.Tokens.Superseded(to.ID, o.Epoch) {
			return clock, err
		}
	}
	return 0, errors.Join(citron.ErrRejected, ctx.Err())
}

// Renew renews the lease and returns the running and the ended runs. The report of a new life is returned only after that
// life has received a token above those of all orders to the former one, so that none of them reaches what is placed on it.
func (w *Workers) Renew(ctx context.Context, to *citron.WorkerEntry, o citron.RenewOrder) (report citron.WorkerReport, clock time.Duration, err error) {
	for ctx.Err() == nil {
		var ok bool
		if o.Epoch, ok = w.Tokens.Next(to.ID); !ok {
			return report, 0, citron.ErrFenced
		}
		report, clock, err = w.To.Renew(ctx, to, o)
		switch {
		case err == nil && !w.Tokens.RecordLife(to.ID, report.Incarnation, o.Epoch):
			// The lease and the acknowledgement were meant for the former life.
			o = citron.RenewOrder{}
			continue
		case errors.Is(err, citron.ErrFenced) && w.Tokens.Superseded(to.ID, o.Epoch):
			continue
		case mayArriveLate(err):
			w.Tokens.RecordUnanswered(to.ID, o.Epoch)
		}
		return report, clock, err
	}
	return citron.WorkerReport{}, 0, errors.Join(citron.ErrRejected, ctx.Err())
}

// mayArriveLate reports whether an order that failed may still be carried out.
func mayArriveLate(err error) bool {
	return err != nil && !errors.Is(err, citron.ErrRejected) && !errors.Is(err, citron.ErrRefused) && !errors.Is(err, citron.ErrFenced) &&
		!errors.Is(err, citron.ErrWorkerGone)
}
