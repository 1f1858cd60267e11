// Package internal holds the tests that look at the source as a whole.
package internal

import (
	"fmt"
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	root      = ".."
	module    = "github.com/marlpass/marlpass/"
	layerPage = "docs/architecture.md"
)

var quoted = regexp.MustCompile("`([^`]+)`")

// layers returns the patterns of the table in layerPage, row by row.
func layers(t *testing.T) [][]string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, layerPage))
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 || !strings.HasPrefix(line, "| `") {
			continue
		}
		var row []string
		for _, m := range quoted.FindAllStringSubmatch(cells[1], -1) {
			row = append(row, m[1])
		}
		rows = append(rows, row)
	}
	return rows
}

// rowOf returns the row that names a package, or -1.
func rowOf(rows [][]string, pkg string) int {
	return slices.IndexFunc(rows, func(row []string) bool {
		return slices.ContainsFunc(row, func(pattern string) bool {
			ok, _ := path.Match(pattern, pkg)
			return ok
		})
	})
}

// packages returns the module's packages by their folders.
func packages(t *testing.T) map[string]*build.Package {
	t.Helper()
	found := map[string]*build.Package{}
	for _, top := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(dir string, d fs.DirEntry, err error) error {
			if err != nil || !d.IsDir() {
				return err
			}
			if d.Name() == "testdata" {
				return fs.SkipDir
			}
			p, err := build.ImportDir(dir, 0)
			if err == nil && len(p.GoFiles) > 0 {
				name, _ := filepath.Rel(root, dir)
				found[filepath.ToSlash(name)] = p
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// The page names every package, and imports go down its rows only.
func TestImportsGoDown(t *testing.T) {
	rows, all := layers(t), packages(t)
	for name, p := range all {
		row := rowOf(rows, name)
		if row < 0 {
			t.Errorf("%s is not in the table of %s", name, layerPage)
			continue
		}
		for _, imported := range p.Imports {
			below, ours := strings.CutPrefix(imported, module)
			if ours && rowOf(rows, below) <= row {
				t.Errorf("%s imports %s, which is not in a lower row of %s", name, below, layerPage)
			}
		}
	}
	for _, row := range rows {
		for _, pattern := range row {
			if _, ok := all[pattern]; !ok && !strings.Contains(pattern, "*") {
				t.Errorf("%s lists %s, which is not a package", layerPage, pattern)
			}
		}
	}
}

// decisions are the packages that take the clock as an argument.
var decisions = []string{
	"call", "completion", "config", "config/match", "distribute", "follow", "limit", "membership", "once",
	"quarantine", "query", "retry", "rollout", "route",
}

// runners are the files in them that wait, or run the decisions by the clock.
var runners = []string{
	"distribute/perform.go", "distribute/runner.go",
	"follow/pull.go", "follow/push.go", "follow/query.go", "follow/runner.go", "follow/source.go",
	"limit/gate.go",
	"membership/runner.go",
	"once/batcher.go", "once/claim.go",
}

// harmless is what decisions take from packages that can open a socket.
var harmless = regexp.MustCompile(`^http\.(Header|Method\w+|Status\w+)$|^net\.(SplitHostPort|JoinHostPort)$`)

// Imports that decisions do without: other ways to the network or the machine.
var badImport = regexp.MustCompile(`^(net/.*|os|os/.*|syscall|crypto/tls|golang.org/x/(sys|net)/.*)$`)

// goodImport are those of them that open nothing, or whose use is checked name
// by name.
var goodImport = regexp.MustCompile(`^net/(http|netip|url|textproto)$`)

var (
	opensSockets = regexp.MustCompile(`^(http|net|os|tls)\.`)
	usesClock    = regexp.MustCompile(`^time\.(Now|Sleep|After|AfterFunc|NewTimer|NewTicker|Since|Until|Tick)$|^wait\.For$`)
)

// A decision that reads the clock or the network by itself gives another verdict
// on another day, and no test can put it into a given case.
func TestDecisionsArePure(t *testing.T) {
	for _, pkg := range decisions {
		files, err := filepath.Glob(filepath.Join(pkg, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no files of %s: %v", pkg, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			sockets, waits := impurities(t, file)
			for _, s := range sockets {
				t.Errorf("%s", s)
			}
			runs := slices.Contains(runners, filepath.ToSlash(file))
			if runs && len(waits) == 0 {
				t.Errorf("%s neither waits nor reads the clock: take it out of the runners", file)
			}
			for _, w := range waits {
				if !runs {
					t.Errorf("%s", w)
				}
			}
		}
	}
}

// impurities returns where a file may use the network, and where it reads the
// clock, waits or starts a goroutine.
func impurities(t *testing.T, file string) (sockets, waits []string) {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	at := func(n ast.Node, what string) string {
		return fmt.Sprintf("%s: %s", files.Position(n.Pos()), what)
	}
	for _, i := range parsed.Imports {
		name := strings.Trim(i.Path.Value, `"`)
		if badImport.MatchString(name) && !goodImport.MatchString(name) {
			sockets = append(sockets, at(i, "imports "+name))
		}
		if i.Name != nil && (name == "time" || name == "net" || badImport.MatchString(name)) {
			sockets = append(sockets, at(i, "renames "+name+", which hides its uses from this test"))
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			waits = append(waits, at(n, "starts a goroutine"))
		case *ast.CallExpr:
			if name := selected(n.Fun); usesClock.MatchString(name) {
				waits = append(waits, at(n, name))
			}
		case *ast.SelectorExpr:
			if name := selected(n); opensSockets.MatchString(name) && !harmless.MatchString(name) {
				sockets = append(sockets, at(n, name))
			}
		}
		return true
	})
	return sockets, waits
}

// selected returns "pkg.Name" for such an expression.
func selected(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	x, ok := s.X.(*ast.Ident)
	if !ok {
		return ""
	}
	return x.Name + "." + s.Sel.Name
}
