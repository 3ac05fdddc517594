package plat

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron/wire"
	"github.com/citroncross/citroncross/schema/lab"
)

// publishInterval is how often the published list is replaced.
const publishInterval = 250 * time.Millisecond

// maxVMBytes is the maximum size of the description of a VM.
const maxVMBytes = 64 << 10

// Run publishes the list of VMs, delayed by ListLag, until the context ends. Its end is reported on the returned channel.
func (p *Platform) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick, stop := p.Timer.Every(publishInterval)
		defer stop()
		var pending []*lab.VMList
		for {
			pending = append(pending, p.snapshot())
			if steps := int(p.Options.ListLag/publishInterval) + 1; len(pending) > steps {
				pending = pending[len(pending)-steps:]
			}
			p.publish(pending[0])
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

// snapshot returns a copy of the current list with a new sequence number.
func (p *Platform) snapshot() *lab.VMList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	list := &lab.VMList{Sequence: p.sequence}
	for _, vm := range p.vms {
		list.VMs = append(list.VMs, proto.Clone(vm).(*lab.VM))
	}
	return list
}

func (p *Platform) publish(list *lab.VMList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published = list
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	published := p.published
	p.mu.Unlock()
	if published == nil {
		http.Error(w, "no list yet", http.StatusServiceUnavailable)
		return
	}
	wire.Write(w, published)
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var vm lab.VM
	if err := wire.Read(r, maxVMBytes, &vm); err != nil || vm.GetName() == "" {
		http.Error(w, "bad VM", http.StatusBadRequest)
		return
	}
	p.Add(&vm)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.Remove(pathvar.Vars(r)["name"])
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) leaving(w http.ResponseWriter, r *http.Request) {
	p.updateVM(w, r, func(vm *lab.VM) { vm.Leaving = true })
}

// power switches a VM off, or on after WakeTime.
func (p *Platform) power(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("On") != "true" {
		p.updateVM(w, r, func(vm *lab.VM) { vm.Asleep = true })
		return
	}
	due, _ := p.Timer.After(p.Options.WakeTime)
	select {
	case <-due:
	case <-r.Context().Done():
	}
	p.updateVM(w, r, func(vm *lab.VM) { vm.Asleep = false })
}

// updateVM applies f to the VM named in the path.
func (p *Platform) updateVM(w http.ResponseWriter, r *http.Request, f func(*lab.VM)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, ok := p.vms[pathvar.Vars(r)["name"]]
	if !ok {
		http.Error(w, "unknown VM", http.StatusNotFound)
		return
	}
	f(vm)
	p.sequence++
}
