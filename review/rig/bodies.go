package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/citroncross/citroncross/citronlab/site"
)

const (
	// deepSteps is the number of steps of a deep job, imageBytes the length of the name of what a step runs.
	deepSteps, imageBytes = 230, 1000
	// deepClients submit deepJobs deep jobs, each with deepPause between two.
	deepJobs    = 900
	deepClients = 4
	deepPause   = 100 * time.Millisecond
	// bodiesFor is how long clients submit jobs.
	bodiesFor = 95 * time.Second
)

// playBodies submits jobs of many steps beside quick ones. No process may take more memory than its limit.
func playBodies(r *Rig) (broken []string, err error) {
	if err := r.start(20, 32000, 65536, 4, routes); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	steps := make([]string, deepSteps)
	for n := range steps {
		after := ""
		if n > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, n-1)
		}
		steps[n] = fmt.Sprintf(`{"count":1,"cpu":200,"mem_mb":100,"estimate_ms":3000,"image":"%s%04d"%s}`, strings.Repeat("i", imageBytes-4), n, after)
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[%s]}`, strings.Join(steps, ","))
	stop := r.watchMemory()
	began := time.Now()
	var clients sync.WaitGroup
	for range deepClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; r.trouble && n < deepJobs/deepClients && time.Since(began) < bodiesFor; n++ {
				r.submit("/sweep/", body, deepSteps)
				time.Sleep(deepPause)
			}
		}()
	}
	for time.Since(began) < bodiesFor {
		r.submit("/quick/", quickJob, 1)
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	deep := 0
	for _, j := range r.jobs {
		if j.accepted && strings.HasPrefix(j.path, "/sweep/") {
			deep++
		}
	}
	r.record.Add("%d jobs of %d bytes were accepted", deep, len(body))
	fmt.Println(deep, "jobs of", len(body), "bytes accepted")
	return r.judgeMemory(stop()), nil
}

// maxPage is the largest page of newest records, in bytes of their values.
const maxPage = 1 << 20

// pageLimit limits the pages of a store as the platform does.
type pageLimit struct{ store *site.Store }

// ServeHTTP handles a call to the store.
func (p pageLimit) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/log-newest") {
		p.store.ServeHTTP(w, r)
		return
	}
	full := httptest.NewRecorder()
	p.store.ServeHTTP(full, r)
	var page struct {
		Items     []json.RawMessage `json:"items"`
		MorePages bool              `json:"more_pages"`
		End       int64             `json:"end"`
	}
	if full.Code != http.StatusOK || json.Unmarshal(full.Body.Bytes(), &page) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size := 0
	for n, item := range page.Items {
		if size += len(item); size > maxPage && n > 0 {
			page.Items, page.MorePages = page.Items[:n], true
			break
		}
	}
	if page.Items == nil {
		page.Items = []json.RawMessage{}
	}
	raw, err := json.Marshal(page)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = bytes.NewReader(raw).WriteTo(w)
}
