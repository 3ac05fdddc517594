package tail

import (
	"context"
	"errors"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/waits"
)

// pageBounds bound the timeout of one page of the newest records. A page has up to 1 MB, for which a link of 10 Mbit/s
// that also carries other traffic takes seconds. It is also how long a load may go on waiting for a store that has come
// back meanwhile.
var pageBounds = waits.Bounds{Min: 5 * time.Second, Max: 10 * time.Second}

// load reads the newest record of every key, page by page. A failed read is repeated without losing the pages read so
// far. The records appended meanwhile are read too, after each page, since the store may delete them before the last
// page is read.
type load struct {
	// began is the boot time of the first read.
	began time.Duration
	// after is the last key of the pages read so far, empty before the first page.
	after    string
	allPages bool
	// behind is set if records appended since the first page are left to read.
	behind bool
	// newest holds the records of the pages, appended those appended since the first page, up to the offset next.
	newest   []citron.KeyedRecord
	appended []citron.KeyedRecord
	next     citron.Offset
}

// loadOnce reads the next page, unless appended records are left to read, and then what has been appended. It reports
// whether more is left to read. The load ends once all pages and everything appended up to then have been read.
func (t *Tail) loadOnce(ctx context.Context) (more bool, err error) {
	l := &t.loading
	if l.began == 0 {
		l.began = t.Timer.Now().Boot
	}
	if !l.allPages && !l.behind {
		sent := t.Timer.Now().Boot
		single, err := t.loadPage(ctx)
		if err != nil {
			return false, err
		}
		if single {
			t.finishLoad(sent)
			return false, nil
		}
	}
	sent := t.Timer.Now().Boot
	err = t.loadAppended(ctx)
	if errors.Is(err, citron.ErrRecordsDeleted) {
		t.loading = load{began: l.began}
		t.markOutdated()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if !l.allPages || l.behind {
		return true, nil
	}
	t.finishLoad(sent)
	return false, nil
}

// loadPage reads the next page and reports whether it is the only one.
func (t *Tail) loadPage(ctx context.Context) (single bool, err error) {
	l := &t.loading
	began := t.Timer.Now().Boot
	bounded, cancel := context.WithTimeout(ctx, t.pageTimeout.Current(pageBounds))
	defer cancel()
	page, err := t.Store.NewestPage(bounded, t.Partition, l.after)
	if err != nil {
		t.recordLoadFailure(err)
		return false, err
	}
	t.pageTimeout.Answered(pageBounds, t.Timer.Now().Boot-began)
	first := l.after == ""
	if first {
		l.next = page.End
	}
	l.newest = append(l.newest, page.Records...)
	if l.allPages = !page.More; page.More {
		l.after = page.Records[len(page.Records)-1].Key
	}
	return first && l.allPages, nil
}

// recordLoadFailure lets the next read of a load take longer if this one has timed out. Before the first page the store
// may be unreachable as well as slow, and longer waits would only delay the load once it is back.
func (t *Tail) recordLoadFailure(err error) {
	if t.loading.after != "" && errors.Is(err, context.DeadlineExceeded) {
		t.pageTimeout.TimedOut(pageBounds)
	}
}

// loadAppended reads records appended since the first page.
func (t *Tail) loadAppended(ctx context.Context) error {
	l := &t.loading
	bounded, cancel := context.WithTimeout(ctx, t.pageTimeout.Current(pageBounds))
	defer cancel()
	batch, err := t.Store.Read(bounded, t.Partition, l.next, 0)
	if err != nil {
		t.recordLoadFailure(err)
		return err
	}
	l.appended = append(l.appended, batch.Records...)
	l.next = batch.Start + citron.Offset(len(batch.Records))
	l.behind = l.next < batch.End
	return nil
}

// finishLoad applies what has been loaded, which is everything that was stored at the boot time sent.
func (t *Tail) finishLoad(sent time.Duration) {
	l := t.loading
	t.loading = load{}
	batch := citron.KeyedBatch{Records: append(l.newest, l.appended...), End: l.next}
	t.Apply(batch, true)
	t.advance(l.next)
	t.confirmCurrent(sent)
	if t.Loaded != nil {
		t.Loaded(len(batch.Records), t.Timer.Now().Boot-l.began)
	}
}
