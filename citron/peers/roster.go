package peers

import (
	"slices"
	"time"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/roster"
	"github.com/citroncross/citroncross/schema/link"
)

// Hold makes this daemon list the others as the holder in an epoch, 0 if it is not the holder, and returns those to ping now and those
// whose presence records are to be removed. It is called at the interval of pings.
func (p *Peers) Hold(epoch citron.Epoch, unheardFor time.Duration) (ping, remove []citron.VMName) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.Hold(now, epoch)
	if epoch == 0 {
		return nil, nil
	}
	p.roster.Update(now, p.Self.VM)
	return p.roster.PingsDue(now, unheardFor), p.roster.RemovalsDue(now)
}

// Missing reports whether the holder does not count this daemon.
func (p *Peers) Missing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Missing(p.Self.VM)
}

// NewerRoster returns the list of this daemon as the holder if it is newer than the one that another daemon has, otherwise nil.
func (p *Peers) NewerRoster(epoch, number uint64) *link.Roster {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, newer := p.roster.Current(roster.Number{Epoch: citron.Epoch(epoch), Number: number})
	if !newer {
		return nil
	}
	message := &link.Roster{Epoch: uint64(l.Number.Epoch), Number: l.Number.Number}
	for _, vm := range l.VMs {
		message.VMs = append(message.VMs, string(vm))
	}
	return message
}

// rosterNumber returns the number of the newest list that this daemon has received.
func (p *Peers) rosterNumber() (epoch, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.roster.Known()
	return uint64(known.Epoch), known.Number
}

// applyRoster applies the list in an answer, if any. The caller holds the lock.
func (p *Peers) applyRoster(now time.Duration, message *link.Roster) {
	if message == nil {
		return
	}
	l := roster.List{Number: roster.Number{Epoch: citron.Epoch(message.GetEpoch()), Number: message.GetNumber()}}
	for _, vm := range message.GetVMs() {
		l.VMs = append(l.VMs, citron.VMName(vm))
	}
	slices.Sort(l.VMs)
	p.roster.Apply(now, l)
}
