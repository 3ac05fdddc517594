package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const validSettings = `
VM = "entry-1"
FailureDomain = "sw-kanturk"
CallerAddress = "127.0.0.1:8080"
AdminAddress = "127.0.0.1:8081"
PeerAddress = "127.0.0.1:8082"
PlatformURL = "http://127.0.0.1:9000"
[[Peers]]
VM = "entry-1"
Address = "127.0.0.1:8082"
[TLS]
Off = true
`

func readSettings(t *testing.T, text string) Problems {
	t.Helper()
	file := filepath.Join(t.TempDir(), "d.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, problems := ReadDaemon(file)
	for n := range problems {
		problems[n].File = "d.toml"
	}
	return problems
}

func TestValidSettingsHaveNoProblem(t *testing.T) {
	if problems := readSettings(t, validSettings); len(problems) > 0 {
		t.Error(problems)
	}
}

func TestEveryProblemIsReportedAtOnce(t *testing.T) {
	text := strings.Replace(validSettings, "127.0.0.1:8080", "localhost", 1)
	text = strings.Replace(text, "Off = true", "Off = \"yes\"\nColour = 3", 1)
	text += "[Ownership]\nLeaseMs = \"2s\"\nRenewMs = 1900\n[Log]\nLevel = \"loud\"\n[Limits]\nRetryPercent = 900\n"
	goldie.New(t).Assert(t, "problems", []byte(readSettings(t, text).Error()))
}

func FuzzRead(f *testing.F) {
	f.Add(validSettings)
	f.Add("Peers = 3")
	f.Add("[[Peers]]\nVM = [1]")
	f.Fuzz(func(_ *testing.T, text string) {
		settings := DaemonDefaults()
		_ = Read("fuzz", text, settings)
	})
}
