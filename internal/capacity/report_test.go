package capacity

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/version"
)

var update = flag.Bool("update", false, "rewrite the golden page")

// blank is a page with nothing but marks.
func blank() string {
	var b strings.Builder
	for _, s := range sections() {
		fmt.Fprintf(&b, "## %s\n\n<!-- begin %s -->\n<!-- end %s -->\n\n", s.name, s.name, s.name)
	}
	return b.String()
}

func TestReportOfFixedFigures(t *testing.T) {
	r, err := Read("testdata/raw.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Rewrite(blank(), r)
	if err != nil {
		t.Fatal(err)
	}
	const golden = "testdata/page.md"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the page differs from %s; got:\n%s", golden, got)
	}
	again, err := Rewrite(got, r)
	if err != nil || again != got {
		t.Errorf("a second report changes the page: %v", err)
	}
}

func TestReportWantsItsMarks(t *testing.T) {
	if _, err := Rewrite("no marks", new(Raw)); err == nil {
		t.Error("a page without marks was rewritten")
	}
}

func TestReportWithoutFigures(t *testing.T) {
	if _, err := Rewrite(blank(), new(Raw)); err != nil {
		t.Error(err)
	}
}

// The committed tables must be those of the committed figures: a reader who
// takes a figure from the page finds the run that gave it.
func TestPageIsCurrent(t *testing.T) {
	r, err := Read("../../" + defaultRaw)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../" + defaultPage)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Rewrite(string(page), r)
	if err != nil || got != string(page) {
		t.Errorf("run marlpass-capacity report: %v", err)
	}
}

func TestPlots(t *testing.T) {
	r, err := Read("testdata/raw.json")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := writePlots(Lines(r), folder); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.svg"))
	if err != nil || len(files) != len(plotted()) {
		t.Errorf("%d plots, want %d: %v", len(files), len(plotted()), err)
	}
}

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{"-h", exit.OK, "Examples:"},
		{"measure -h", exit.OK, "Usage: marlpass-capacity measure [flags]"},
		{"-version", exit.OK, "marlpass-capacity " + version.Number},
		{"", exit.Usage, "a subcommand is missing; allowed are measure, report, part; see -h"},
		{"weigh", exit.Usage, `unknown subcommand "weigh"; allowed are measure, report, part; see -h`},
		{"measure -only nothing", exit.Usage, "no part is called"},
		{"measure -sizes 0", exit.Usage, "no number of nodes"},
		{"report extra", exit.Usage, `unexpected argument "extra"; see -h`},
		{"report -in testdata/absent.json", exit.Failed, "absent.json"},
		{"part", exit.Usage, "wants a name"},
		{"part -h", exit.OK, "Usage: marlpass-capacity part [flags]"},
		{"part mesh x time 0", exit.Usage, "no number of nodes"},
	} {
		var out strings.Builder
		code := Run(context.Background(), strings.Fields(test.args), &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.want) {
			t.Errorf("%q: code %d, want %d; printed %q", test.args, code, test.code, out.String())
		}
	}
}
