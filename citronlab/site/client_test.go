package site

import (
	"slices"
	"testing"
)

// Guards against a daemon that cannot start because two of its ports are the same.
func TestFreeAddressesDiffer(t *testing.T) {
	const ports = 2000
	addresses, err := FreeAddresses("127.0.0.52", ports)
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(addresses)
	if different := len(slices.Compact(addresses)); different != ports {
		t.Errorf("%d different addresses, want %d", different, ports)
	}
}
