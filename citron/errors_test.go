package citron

import (
	"strings"
	"testing"
	"unicode/utf8"
)

// Guards against refusals that repeat what a caller has sent, in the answer and in the log.
func TestReasonsAreShort(t *testing.T) {
	long := strings.Repeat("é", 100_000)
	for _, reason := range []string{
		NewNotRunRefusal(RefusalBadBody, 0, "the body is no job: %s", long).Reason,
		NewUnknownRefusal(RefusalOutcomeUnknown, "x%s", long).Reason,
	} {
		if len(reason) > maxReasonBytes+3 || !utf8.ValidString(reason) {
			t.Errorf("a reason has %d bytes, valid text: %t", len(reason), utf8.ValidString(reason))
		}
	}
	if reason := NewNotRunRefusal(RefusalBadBody, 0, "short").Reason; reason != "short" {
		t.Errorf("a short reason became %q", reason)
	}
}
