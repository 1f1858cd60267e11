package internal

import (
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ +(.*)$`)
	anchor  = regexp.MustCompile(`<a id="([^"]+)">`)
	notSlug = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
)

// A page that points to nothing sends an operator in trouble astray.
func TestLinksResolve(t *testing.T) {
	for _, page := range pages(t) {
		for _, m := range link.FindAllStringSubmatch(read(t, page), -1) {
			target, err := url.Parse(m[1])
			if err != nil {
				t.Errorf("%s: %v", page, err)
				continue
			}
			if target.IsAbs() {
				continue
			}
			file := page
			if target.Path != "" {
				file = filepath.Join(filepath.Dir(page), target.Path)
			}
			if _, err := os.Stat(file); err != nil {
				t.Errorf("%s: there is no %s", page, m[1])
			} else if target.Fragment != "" && !hasAnchor(read(t, file), target.Fragment) {
				t.Errorf("%s: no heading of that name: %s", page, m[1])
			}
		}
	}
}

// pages returns the pages for people; generated trees have none.
func pages(t *testing.T) []string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(root, "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir(filepath.Join(root, "docs"), func(file string, d fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(file) == ".md" {
			found = append(found, file)
		}
		return err
	})
	if err != nil || len(found) == 0 {
		t.Fatalf("%d pages: %v", len(found), err)
	}
	return found
}

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// hasAnchor reports whether a page has a heading, or an anchor, of that name.
func hasAnchor(page, name string) bool {
	for _, m := range heading.FindAllStringSubmatch(page, -1) {
		slug := notSlug.ReplaceAllString(strings.ToLower(strings.TrimSpace(m[1])), "")
		if strings.ReplaceAll(slug, " ", "-") == name {
			return true
		}
	}
	for _, m := range anchor.FindAllStringSubmatch(page, -1) {
		if m[1] == name {
			return true
		}
	}
	return false
}
