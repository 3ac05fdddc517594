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
	// NoFailure answers.
	NoFailure Failure = iota
	// Busy answers 503 and does nothing.
	Busy
	// Unresponsive does nothing and never answers.
	Unresponsive
	// AnswersLost does what was asked and does not answer.
	AnswersLost
)

// String names the failure.
func (f Failure) String() string {
	return [...]string{"well", "busy", "silent", "answers lost"}[f]
}

// Store is the platform's log. The zero value with a Timer works.
type Store struct {
	Timer citron.Timer

	mu    sync.Mutex
	fail  func(call, topic, part string) Failure
	parts map[string]*partition
}

type partition struct {
	first   int64
	records [][]byte
	newest  map[string]keyed
	writers map[string]*producer
	grown   chan struct{}
}

type keyed struct {
	value  []byte
	offset int64
}

// producer remembers the last appends of one producer.
type producer struct {
	epoch   uint64
	next    int64
	started bool
	last    []answered
}

type answered struct {
	seq, offset, end int64
}

// rememberedAppends is how many appends of a producer get their first answer again.
const rememberedAppends = 5

func (s *Store) part(topic, number string) *partition {
	if s.parts == nil {
		s.parts = map[string]*partition{}
	}
	key := topic + "/" + number
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]keyed{}, writers: map[string]*producer{}, grown: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

// Put writes a record as the operator and the workers do.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.part(topic, "0").add([][]byte{append(record, value...)})
}

// Value returns the newest value of a key; empty if there is none.
func (s *Store) Value(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.part(topic, "0").newest[key].value)
}

// SetFailures sets how calls to a topic and partition are treated.
func (s *Store) SetFailures(fail func(call, topic, part string) Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = fail
}

// Compact drops the history of every topic; the newest records stay.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.parts {
		p.first += int64(len(p.records))
		p.records = nil
	}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

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
		close(p.grown)
		p.grown = make(chan struct{})
	}
}

// ServeHTTP answers the calls of the log.
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
		s.list(w, r, topic, part)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, topic, part string, failure Failure) {
	body, err := io.ReadAll(r.Body)
	records, ok := split(body)
	if err != nil || !ok || !strings.HasPrefix(topic, "keyed.") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reply := s.store(r, topic, part, records)
	if failure == AnswersLost {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, reply)
}

// store appends under the conditions of the call.
func (s *Store) store(r *http.Request, topic, part string, records [][]byte) (status int, reply any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, part)
	q := r.URL.Query()
	type landed struct {
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
		return http.StatusOK, landed{offset, p.end()}
	}
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	type refused struct {
		Reason string `json:"reason"`
		Seq    int64  `json:"seq"`
	}
	one := p.writers[q.Get("producer")]
	if one == nil {
		one = &producer{}
		p.writers[q.Get("producer")] = one
	}
	switch {
	case epoch < one.epoch:
		return http.StatusConflict, refused{Reason: "fenced"}
	case epoch > one.epoch:
		*one = producer{epoch: epoch}
	}
	if len(records) == 0 {
		return http.StatusOK, landed{p.end(), p.end()}
	}
	if n := slices.IndexFunc(one.last, func(a answered) bool { return a.seq == seq }); n >= 0 {
		return http.StatusOK, landed{one.last[n].offset, one.last[n].end}
	}
	if one.started && seq != one.next {
		return http.StatusConflict, refused{Reason: "seq", Seq: one.next}
	}
	offset := p.end()
	p.add(records)
	one.started, one.next = true, seq+1
	one.last = append(one.last, answered{seq, offset, p.end()})
	one.last = one.last[max(len(one.last)-rememberedAppends, 0):]
	return http.StatusOK, landed{offset, p.end()}
}

func split(body []byte) (records [][]byte, ok bool) {
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

// defaultKilobytes bounds an answer where the caller does not.
const defaultKilobytes = 1024

func (s *Store) read(w http.ResponseWriter, r *http.Request, topic, part string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	most := defaultKilobytes
	if asked, err := strconv.Atoi(r.URL.Query().Get("max_kb")); err == nil {
		most = asked
	}
	s.mu.Lock()
	p := s.part(topic, part)
	if from >= p.end() && wait > 0 {
		grown := p.grown
		s.mu.Unlock()
		s.await(r.Context(), grown, time.Duration(wait)*time.Millisecond)
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
		if len(body)+len(record) > most<<10 {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	_, _ = w.Write(body)
}

func (s *Store) await(ctx context.Context, grown <-chan struct{}, wait time.Duration) {
	due, stop := s.Timer.After(wait)
	defer stop()
	select {
	case <-grown:
	case <-due:
	case <-ctx.Done():
	}
}

// pageItems is the number of keys on one page; small, so that tests turn pages.
const pageItems = 20

func (s *Store) list(w http.ResponseWriter, r *http.Request, topic, part string) {
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
	}{MorePages: len(keys) > pageItems, End: p.end()}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, item{key, p.newest[key].value, p.newest[key].offset})
	}
	writeJSON(w, http.StatusOK, page)
}
