// Package fleet polls the platform's VM list, which is eventually consistent and may be out of date.
package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
)

const (
	// pollInterval is how often the list is read.
	pollInterval = time.Second
	// goneAfterLists is the number of consecutive lists without a VM after which it counts as gone.
	goneAfterLists = 2
	// listTimeout limits one read of the list.
	listTimeout = 2 * time.Second
)

// Kinds of VMs in the platform's list.
const (
	KindEntry    = "Entry"
	KindEndpoint = "Endpoint"
	KindWorker   = "Worker"
)

// Client is an HTTP client of the platform's VM list.
type Client struct {
	URL    string
	client *wire.Client
}

var _ citron.VMList = (*Client)(nil)

// NewClient returns a client of the platform at url. If countBytes is set, it is called with the size of each exchange.
func NewClient(url string, countBytes func(n int)) *Client {
	client := wire.NewClient("platform-vms", 4)
	client.CountBytes = countBytes
	return &Client{URL: url, client: client}
}

// List returns the platform's current list.
func (c *Client) List(ctx context.Context) (list *lab.VMList, err error) {
	list = &lab.VMList{}
	err = c.client.Do(ctx, http.MethodGet, c.URL+"/v1/vms", nil, list)
	return list, eris.Wrap(err, "list VMs")
}

// SetPower switches a worker VM on or off.
func (c *Client) SetPower(ctx context.Context, name citron.VMName, on bool) (err error) {
	defer func() { err = eris.Wrapf(err, "set power of VM %s", name) }()
	url := c.URL + "/v1/vms/" + string(name) + "/power?On=false"
	if on {
		url = c.URL + "/v1/vms/" + string(name) + "/power?On=true"
	}
	return c.client.Do(ctx, http.MethodPost, url, nil, nil)
}

// Tracker derives the state of each VM from successive lists. The zero value has no VMs.
type Tracker struct {
	// Changed is called after each list that has been applied.
	Changed func(now citron.Instant, vms []*lab.VM)
	// VMGone is called once for each VM that has become gone.
	VMGone func(name citron.VMName)
	// ListFailed is called when a list could not be read.
	ListFailed func(error)

	mu sync.RWMutex
	// sequence is the sequence number of the last list that was applied.
	sequence int64
	vms      map[citron.VMName]*lab.VM
	// missing counts the consecutive lists without a VM.
	missing map[citron.VMName]int
	gone    map[citron.VMName]bool
}

// Apply applies a list. A list that is not newer than the last one is ignored.
func (t *Tracker) Apply(now citron.Instant, list *lab.VMList) {
	newer, gone := t.applyList(list)
	if !newer {
		return
	}
	for _, name := range gone {
		if t.VMGone != nil {
			t.VMGone(name)
		}
	}
	if t.Changed != nil {
		t.Changed(now, t.List())
	}
}

// applyList applies a list and returns whether it was newer than the last one and which VMs it made gone.
func (t *Tracker) applyList(list *lab.VMList) (newer bool, gone []citron.VMName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.vms == nil {
		t.vms = map[citron.VMName]*lab.VM{}
		t.missing = map[citron.VMName]int{}
		t.gone = map[citron.VMName]bool{}
	}
	if list.GetSequence() <= t.sequence {
		return false, nil
	}
	t.sequence = list.GetSequence()
	listed := map[citron.VMName]bool{}
	for _, vm := range list.GetVMs() {
		name := citron.VMName(vm.GetName())
		listed[name] = true
		t.vms[name] = vm
		delete(t.missing, name)
		delete(t.gone, name)
	}
	for name := range t.vms {
		if listed[name] {
			continue
		}
		t.missing[name]++
		if t.missing[name] < goneAfterLists {
			continue
		}
		t.gone[name] = true
		delete(t.vms, name)
		delete(t.missing, name)
		gone = append(gone, name)
	}
	return true, gone
}

// List returns all VMs that are not gone. A VM that is missing from the last list is returned as leaving.
func (t *Tracker) List() []*lab.VM {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*lab.VM, 0, len(t.vms))
	for name, vm := range t.vms {
		if t.missing[name] > 0 {
			vm = asLeaving(vm)
		}
		all = append(all, vm)
	}
	return all
}

// IsGone reports whether a VM was once listed and then missing from goneAfterLists consecutive lists.
func (t *Tracker) IsGone(name citron.VMName) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.gone[name]
}

// Run polls the list until the context ends and reports its end on the returned channel.
func (t *Tracker) Run(ctx context.Context, timer citron.Timer, list citron.VMList) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := timer.Every(pollInterval)
		defer stop()
		for {
			t.poll(ctx, timer, list)
			select {
			case <-tick:
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (t *Tracker) poll(ctx context.Context, timer citron.Timer, list citron.VMList) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := list.List(bounded)
	if err == nil {
		t.Apply(timer.Now(), l)
		return
	}
	if t.ListFailed != nil && ctx.Err() == nil {
		t.ListFailed(err)
	}
}

// asLeaving returns a copy of vm that is marked as leaving.
func asLeaving(vm *lab.VM) *lab.VM {
	return &lab.VM{
		Name:          vm.GetName(),
		Kind:          vm.GetKind(),
		Address:       vm.GetAddress(),
		FailureDomain: vm.GetFailureDomain(),
		Rack:          vm.GetRack(),
		Leaving:       true,
		Service:       vm.GetService(),
		Slots:         vm.GetSlots(),
		Connections:   vm.GetConnections(),
		MilliCores:    vm.GetMilliCores(),
		MemoryMb:      vm.GetMemoryMb(),
		Accelerators:  vm.GetAccelerators(),
		Asleep:        vm.GetAsleep(),
	}
}
