package tmpl

import (
	"fmt"
	"os"
	"testing"
)

func ExampleRender() {
	source, problems := Render("t.toml", `Team = "{{.Name}}"`, `Name = "bensalah"`)
	fmt.Println(source, len(problems))
	// Output: Team = "bensalah" 0
}

func TestExamplesAreValid(t *testing.T) {
	for _, team := range []string{"ballyhoura", "bensalah"} {
		text, err := os.ReadFile("../../examples/" + team + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		parameters, err := os.ReadFile("../../examples/" + team + ".parameters.toml")
		if err != nil {
			t.Fatal(err)
		}
		source, problems := Render(team, string(text), string(parameters))
		if len(problems) == 0 {
			_, problems = Parse(team, source)
		}
		if len(problems) > 0 {
			t.Error(problems)
		}
	}
}

func TestMissingParameterIsReported(t *testing.T) {
	if _, problems := Render("t.toml", "{{.Cores}}", ""); len(problems) == 0 {
		t.Error("Render reported no problem for a template whose parameter Cores is not set")
	}
}

func FuzzParse(f *testing.F) {
	f.Add("Team = \"t\"\n[[Classes]]\nName = \"c\"\n")
	f.Add("Classes = 1")
	f.Fuzz(func(_ *testing.T, source string) {
		compiled, problems := Parse("fuzz", source)
		if len(problems) == 0 && (compiled.Team == "" || len(compiled.Classes) == 0) {
			panic("Parse reported no problem for a template without a team or classes")
		}
	})
}
