package capacity

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// section is a part of the page that the report rewrites, between two marks.
type section struct {
	name string
	text func(r *Raw, lines []Line) string
}

func sections() []section {
	return []section{
		{"roles", roles}, {"size", sizeTable}, {"fits", fits}, {"plots", plotLinks}, {"misfits", misfits},
		{"rest", restTable}, {"kinds", kindTable}, {"processes", processTable}, {"bursts", burstTable}, {"spreads", spreadTable}, {"storms", stormTable}, {"calls", callTable}, {"chains", chainTable},
		{"flight", flightTable}, {"claims", claimTable}, {"versions", versionTable}, {"subsets", subsetTable},
		{"reads", readTable}, {"benchmarks", benchTable}, {"virtual", virtualTable}, {"losses", losses},
	}
}

// errNoMark means that the page lacks the marks of a section.
var errNoMark = errors.New("capacity: the page has no marks")

// Report rewrites the tables of the page and the plots.
func Report(r *Raw, page, plots string) error {
	b, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := Rewrite(string(b), r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
		return err
	}
	return writePlots(Lines(r), plots)
}

// Rewrite returns the page with all sections made anew from the raw figures.
func Rewrite(page string, r *Raw) (string, error) {
	lines := Lines(r)
	for _, s := range sections() {
		var err error
		if page, err = replace(page, s.name, s.text(r, lines)); err != nil {
			return "", err
		}
	}
	return page, nil
}

func replace(page, name, text string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	_, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		return "", fmt.Errorf("%w: %s", errNoMark, name)
	}
	return before + begin + text + end + after, nil
}
