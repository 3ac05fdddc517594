package site

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citron"
)

// Failure is how the store treats a call.
type Failure int

// Failures of the store.
const (
	// NoFailure carries out the call and answers it.
	NoFailure Failure = iota
	// Busy answers with status 503 and does nothing.
	Busy
	// Unresponsive does nothing and never answers.
	Unresponsive
	// AnswersLost carries out an append and never answers; it does not affect other calls.
	AnswersLost
)

// String returns the name of the failure.
func (f Failure) String() string {
	return [...]string{"well", "busy", "silent", "answers lost"}[f]
}

// Store is the platform's store of partitioned, compacted topics. The zero value with a Timer works.
type Store struct {
	Timer citron.Timer

	mu   sync.Mutex
	fail func(call, topic, part string) Failure
	// partitions are keyed by "TOPIC/NUMBER".
	partitions map[string]*partition
}

// partition is a partition of a topic. A record is a byte with the length of the key, the key and the value.
type partition struct {
	// first is the offset of records[0].
	first   int64
	records [][]byte
	// newest holds the newest value of each key.
	newest    map[string]keyed
	producers map[string]*producer
	// appended is closed and replaced by each append.
	appended chan struct{}
}

// keyed is the newest value of a key.
type keyed struct {
	value  []byte
	offset int64
}

// producer is the state that makes the appends of a producer idempotent.
type producer struct {
	epoch   uint64
	nextSeq int64
	// started is set after the first append of the epoch, which may have any sequence number.
	started bool
	recent  []appendResult
}

// appendResult is the answer to an append.
type appendResult struct {
	seq, offset, end int64
}

// rememberedAppends is the number of appends of a producer that get the same answer when they are repeated.
const rememberedAppends = 5

// part returns a partition, creating it if necessary. The lock is held.
func (s *Store) part(topic, number string) *partition {
	if s.partitions == nil {
		s.partitions = map[string]*partition{}
	}
	key := topic + "/" + number
	p := s.partitions[key]
	if p == nil {
		p = &partition{newest: map[string]keyed{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

// Put appends a record to partition 0, as the operator and the workers do. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.part(topic, "0").add([][]byte{append(record, value...)})
}

// Value returns the newest value of a key in partition 0, or "" if there is none.
func (s *Store) Value(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.part(topic, "0").newest[key].value)
}

// SetFailures sets how each call is treated; nil means no failures.
func (s *Store) SetFailures(fail func(call, topic, part string) Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = fail
}

// Compact deletes the records of every partition; the newest value of each key stays.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		p.first += int64(len(p.records))
		p.records = nil
	}
}

// end returns the offset of the next append.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// add appends records. A record without a value deletes the newest value of its key.
func (p *partition) add(records [][]byte) {
	for _, r := range records {
		n := 1 + int(r[0])
		key := string(r[1:n])
		if len(r) == n {
			delete(p.newest, key)
		} else {
			p.newest[key] = keyed{value: r[n:], offset: p.end()}
		}
		p.records = append(p.records, r)
	}
	if len(records) > 0 {
		close(p.appended)
		p.appended = make(chan struct{})
	}
}

// ServeHTTP handles the calls log-append, log-read and log-newest.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := strings.TrimPrefix(r.URL.Path, "/citroncross/")
	q := r.URL.Query()
	topic, part := q.Get("topic"), q.Get("part")
	s.mu.Lock()
	fail := s.fail
	s.mu.Unlock()
	failure := NoFailure
	if fail != nil {
		failure = fail(call, topic, part)
	}
	switch failure {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		<-r.Context().Done()
		return
	}
	switch call {
	case "log-append":
		s.append(w, r, topic, part, failure)
	case "log-read":
		s.read(w, r, topic, part)
	case "log-newest":
		s.listNewest(w, r, topic, part)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, topic, part string, failure Failure) {
	body, err := io.ReadAll(r.Body)
	records, ok := splitRecords(body)
	if err != nil || !ok || !strings.HasPrefix(topic, "keyed.") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reply := s.appendRecords(r, topic, part, records)
	if failure == AnswersLost {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, reply)
}

// appendRecords appends records if the conditions in the query hold: an expected offset (at), and the producer with its
// epoch and sequence number. It returns the status and body of the answer.
func (s *Store) appendRecords(r *http.Request, topic, part string, records [][]byte) (status int, reply any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, part)
	q := r.URL.Query()
	type appended struct {
		Offset int64 `json:"offset"`
		End    int64 `json:"end"`
	}
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		return http.StatusPreconditionFailed, struct {
			End int64 `json:"end"`
		}{p.end()}
	}
	if q.Get("producer") == "" {
		offset := p.end()
		p.add(records)
		return http.StatusOK, appended{offset, p.end()}
	}
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	type refused struct {
		Reason string `json:"reason"`
		Seq    int64  `json:"seq"`
	}
	pr := p.producers[q.Get("producer")]
	if pr == nil {
		pr = &producer{}
		p.producers[q.Get("producer")] = pr
	}
	switch {
	case epoch < pr.epoch:
		return http.StatusConflict, refused{Reason: "fenced"}
	case epoch > pr.epoch:
		*pr = producer{epoch: epoch}
	}
	if len(records) == 0 {
		return http.StatusOK, appended{p.end(), p.end()}
	}
	if n := slices.IndexFunc(pr.recent, func(a appendResult) bool { return a.seq == seq }); n >= 0 {
		return http.StatusOK, appended{pr.recent[n].offset, pr.recent[n].end}
	}
	if pr.started && seq != pr.nextSeq {
		return http.StatusConflict, refused{Reason: "seq", Seq: pr.nextSeq}
	}
	offset := p.end()
	p.add(records)
	pr.started, pr.nextSeq = true, seq+1
	pr.recent = append(pr.recent, appendResult{seq, offset, p.end()})
	pr.recent = pr.recent[max(len(pr.recent)-rememberedAppends, 0):]
	return http.StatusOK, appended{offset, p.end()}
}

// splitRecords splits a body in which each record follows its length in 4 bytes.
func splitRecords(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n > len(body) || n == 0 || n < 1+int(body[0]) {
			return nil, false
		}
		records = append(records, body[:n])
		body = body[n:]
	}
	return records, true
}

// defaultMaxKB limits the size of an answer if the request has no max_kb.
const defaultMaxKB = 1024

// read answers with the records from an offset on. At the end of the partition it waits up to wait_ms for an append.
func (s *Store) read(w http.ResponseWriter, r *http.Request, topic, part string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	maxKB := defaultMaxKB
	if requested, err := strconv.Atoi(r.URL.Query().Get("max_kb")); err == nil {
		maxKB = requested
	}
	s.mu.Lock()
	p := s.part(topic, part)
	if from >= p.end() && wait > 0 {
		appended := p.appended
		s.mu.Unlock()
		s.await(r.Context(), appended, time.Duration(wait)*time.Millisecond)
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if from < p.first {
		writeJSON(w, http.StatusGone, struct {
			First int64 `json:"first"`
		}{p.first})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(p.first))
	for _, record := range p.records[min(from-p.first, int64(len(p.records))):] {
		if len(body)+len(record) > maxKB<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	_, _ = w.Write(body)
}

// await waits until an append, the end of the request or the end of the wait time, whichever comes first.
func (s *Store) await(ctx context.Context, appended <-chan struct{}, wait time.Duration) {
	due, stop := s.Timer.After(wait)
	defer stop()
	select {
	case <-appended:
	case <-due:
	case <-ctx.Done():
	}
}

// pageSize is the number of keys on a page. It is small so that tests read more than one page.
const pageSize = 20

// listNewest answers with one page of the newest values of all keys, in the order of the keys.
func (s *Store) listNewest(w http.ResponseWriter, r *http.Request, topic, part string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, part)
	after := r.URL.Query().Get("after")
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items     []item `json:"items"`
		MorePages bool   `json:"more_pages"`
		End       int64  `json:"end"`
	}{MorePages: len(keys) > pageSize, End: p.end()}
	for _, key := range keys[:min(len(keys), pageSize)] {
		page.Items = append(page.Items, item{key, p.newest[key].value, p.newest[key].offset})
	}
	writeJSON(w, http.StatusOK, page)
}
