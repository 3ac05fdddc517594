package fence

import (
	"testing"

	"github.com/citroncross/citroncross/citron"
)

func TestEpochsLeaveRoomForTheTokensOfTheFormerHolder(t *testing.T) {
	for former, want := range map[citron.Epoch]citron.Epoch{0: Stride, 1: Stride, Stride: 2 * Stride, 2*Stride - 1: 2 * Stride} {
		if got := NextEpoch(former); got != want {
			t.Errorf("the epoch after %d is %d, want %d", former, got, want)
		}
	}
}

// next returns the next token, which must exist.
func next(t *testing.T, tokens *Tokens, id citron.Worker) citron.Epoch {
	t.Helper()
	token, ok := tokens.Next(id)
	if !ok {
		t.Fatalf("no token is left for %s", id)
	}
	return token
}

func TestTokenRisesOnlyAfterAnUnansweredOrderToTheSameWorker(t *testing.T) {
	tokens := Tokens{Epoch: Stride}
	first := next(t, &tokens, "a")
	if first != Stride || tokens.Superseded("a", first) {
		t.Errorf("first token %d, superseded %v; want %d, false", first, tokens.Superseded("a", first), Stride)
	}
	tokens.RecordUnanswered("a", first)
	tokens.RecordUnanswered("a", first) // Another order with the same token.
	if got := next(t, &tokens, "a"); got != first+1 || !tokens.Superseded("a", first) {
		t.Errorf("token %d after an unanswered order, superseded %v; want %d, true", got, tokens.Superseded("a", first), first+1)
	}
	if got := next(t, &tokens, "b"); got != Stride {
		t.Errorf("token %d of another worker, want %d", got, Stride)
	}
}

// Guards against work on a new life that orders to the former one can reach.
func TestNewLifeIsFencedByAnOrderSentAfterItWasKnown(t *testing.T) {
	tokens := Tokens{Epoch: Stride}
	if !tokens.RecordLife("a", 100, next(t, &tokens, "a")) {
		t.Error("the first life that a holder sees is not fenced by its epoch")
	}
	sent := next(t, &tokens, "a")
	if tokens.RecordLife("a", 200, sent) {
		t.Error("the new life counts as fenced by an order with the token of former ones")
	}
	if !tokens.Outlived("a", 100) || tokens.Outlived("a", 200) || tokens.Outlived("a", 0) {
		t.Error("only the former life should be outlived")
	}
	if tokens.RecordLife("a", 200, sent) {
		t.Error("the new life counts as fenced by an order that was under way")
	}
	if !tokens.RecordLife("a", 200, next(t, &tokens, "a")) {
		t.Error("the new life is not fenced by an order with the next token")
	}
}

func TestTokensOfAHolderEndBeforeTheNextEpoch(t *testing.T) {
	tokens := Tokens{Epoch: Stride}
	tokens.RecordUnanswered("a", 2*Stride-2)
	if got := next(t, &tokens, "a"); got != 2*Stride-1 {
		t.Errorf("token %d, want the last one, %d", got, 2*Stride-1)
	}
	tokens.RecordUnanswered("a", 2*Stride-1)
	if token, ok := tokens.Next("a"); ok {
		t.Errorf("token %d, want none", token)
	}
}
