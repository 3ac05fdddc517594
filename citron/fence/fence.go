// Package fence decides the fencing tokens of orders to workers, so that an order without an answer cannot take effect
// after a later one. Tokens decides without I/O or clocks; Workers sends orders with the tokens.
//
// An order that was not answered may still be carried out, seconds later and by the next life of the worker under the same
// id. A worker refuses a token below the highest that it has seen. So each order after an unanswered one carries a higher
// token: whichever life of the worker receives it refuses the unanswered one from then on. What is remembered of all orders
// to a worker is one number, and a new holder needs none of it, since its tokens are higher still.
package fence

import (
	"sync"

	"github.com/citroncross/citroncross/citron"
)

// Stride is the distance between the epochs of two holders. A holder uses the tokens from its epoch up to the next one.
const Stride citron.Epoch = 1 << 24

// NextEpoch returns the epoch of the holder after one in the epoch former.
func NextEpoch(former citron.Epoch) citron.Epoch {
	return (former/Stride + 1) * Stride
}

// Tokens are the tokens of one holder. The zero value is that of a holder in epoch 0.
type Tokens struct {
	Epoch citron.Epoch

	mu      sync.Mutex
	workers map[citron.Worker]*workerTokens
}

// workerTokens are the tokens of the orders to one worker.
type workerTokens struct {
	// raised is the distance of the next token from the epoch.
	raised citron.Epoch
	// incarnation is the newest life of the worker that has answered, 0 if none has told.
	incarnation citron.Incarnation
	// fencedFrom is the lowest token that fences all orders to the former lives.
	fencedFrom citron.Epoch
}

// Next returns the token of the next order to a worker. Ok is false once the holder has used up its tokens.
func (t *Tokens) Next(id citron.Worker) (token citron.Epoch, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	token = t.Epoch + t.of(id).raised
	return token, token < NextEpoch(t.Epoch)
}

// RecordUnanswered makes later orders to a worker fence an order that was not answered.
func (t *Tokens) RecordUnanswered(id citron.Worker, token citron.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.of(id)
	w.raised = max(w.raised, token+1-t.Epoch)
}

// RecordLife records which life of a worker has answered an order. Fenced is false if orders to a former life may still
// reach this one; an order with the next token fences them.
func (t *Tokens) RecordLife(id citron.Worker, incarnation citron.Incarnation, token citron.Epoch) (fenced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.of(id)
	if incarnation != 0 && w.incarnation != 0 && incarnation != w.incarnation {
		w.raised++ // The orders that are under way may have the present token.
		w.fencedFrom = t.Epoch + w.raised
	}
	if incarnation != 0 {
		w.incarnation = incarnation
	}
	return token >= w.fencedFrom
}

// Outlived reports whether a later life of a worker than the given one has answered. A start for the former must not reach it.
func (t *Tokens) Outlived(id citron.Worker, incarnation citron.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.of(id).incarnation
	return incarnation != 0 && known != 0 && incarnation != known
}

// Superseded reports whether this holder has used a higher token for a worker, so that the refusal of this one is no sign
// of another holder.
func (t *Tokens) Superseded(id citron.Worker, token citron.Epoch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return token < t.Epoch+t.of(id).raised
}

// of returns the tokens of a worker. They are kept while the holder lasts: a worker that comes back has seen them.
func (t *Tokens) of(id citron.Worker) *workerTokens {
	if t.workers == nil {
		t.workers = map[citron.Worker]*workerTokens{}
	}
	w := t.workers[id]
	if w == nil {
		w = &workerTokens{}
		t.workers[id] = w
	}
	return w
}
