package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestCatalogAndDocsAgree(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	defined := map[int]bool{}
	for _, e := range Catalog() {
		if defined[e.Number] {
			t.Errorf("event %d is defined twice", e.Number)
		}
		defined[e.Number] = true
		row := fmt.Sprintf("| %d | %s | %s |", e.Number, e.Level, e.Text)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/LOGS.md has no row that begins %q", row)
		}
	}
	if rows := strings.Count(string(page), "\n| "); rows != len(Catalog())+2 {
		t.Errorf("docs/LOGS.md has %d rows, the catalog %d", rows-2, len(Catalog()))
	}
}
