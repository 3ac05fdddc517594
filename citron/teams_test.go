package citron

import (
	"crypto/subtle"
	"fmt"
	"testing"
)

// benchmarkKeys is the number of keys in the benchmarks: 20 teams with 100 keys each.
const benchmarkKeys = 2000

// findByScan is the baseline of FindTeam: it compares a key with every known one in constant time.
func findByScan(keys map[string]Team, key string) (team Team, ok bool) {
	for known, owner := range keys {
		if subtle.ConstantTimeCompare([]byte(known), []byte(key)) == 1 {
			team, ok = owner, true
		}
	}
	return team, ok
}

func BenchmarkFindTeam(b *testing.B) {
	c, plain := &Config{Keys: map[KeyDigest]Team{}}, map[string]Team{}
	for n := range benchmarkKeys {
		key := fmt.Sprintf("key-%028d", n)
		c.Keys[DigestKey(key)], plain[key] = "a", "a"
	}
	key := fmt.Sprintf("key-%028d", benchmarkKeys/2)
	b.Run("digests", func(b *testing.B) {
		for b.Loop() {
			if _, ok := c.FindTeam(key); !ok {
				b.Fatal("a known key is not found")
			}
		}
	})
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			if _, ok := findByScan(plain, key); !ok {
				b.Fatal("a known key is not found")
			}
		}
	})
}

func TestOnlyKnownKeysBelongToATeam(t *testing.T) {
	c := &Config{Keys: map[KeyDigest]Team{DigestKey("k"): "a"}, Teams: []TeamTerms{{Name: "a", Weight: 2}}}
	if team, ok := c.FindTeam("k"); !ok || team != "a" {
		t.Errorf("key k belongs to %q, %t, want a", team, ok)
	}
	for _, key := range []string{"", "K", "k ", "a", string(make([]byte, 64))} {
		if team, ok := c.FindTeam(key); ok {
			t.Errorf("the unknown key %q belongs to %q", key, team)
		}
	}
	if terms, ok := c.Terms("a"); !ok || terms.Weight != 2 {
		t.Errorf("terms %+v, %t, want those of team a", terms, ok)
	}
	if _, ok := (&Config{}).FindTeam("k"); ok {
		t.Error("a key belongs to a team of an empty configuration")
	}
}
