package config

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/testseed"
)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) { testseed.Main(m, nil) }

func mustNew(t interface{ Fatal(...any) }, objects ...Object) *Snapshot {
	s, err := New(1, Empty().Version().Hash, objects)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func berths() Target {
	return Target{
		Name: "book", Team: "berths", Service: "berth",
		Match: Match{PathPrefix: "/berths", Methods: []string{"POST"}}, AnswerWithinMS: 200,
	}
}

func berthService() Service { return Service{Name: "berth", Team: "berths"} }

var letters = rapid.StringMatching(`[a-c]{1,2}`)

// anyObjects draws objects under unique keys, most of them valid.
func anyObjects(t *rapid.T) []Object {
	services := rapid.SliceOfNDistinct(letters, 0, 4, rapid.ID).Draw(t, "services")
	targets := rapid.SliceOfNDistinct(letters, 0, 5, rapid.ID).Draw(t, "targets")
	var out []Object
	for _, n := range services {
		out = append(out, EncodeService(Service{Name: n, Team: "t", Description: letters.Draw(t, "d")}))
	}
	for _, n := range targets {
		out = append(out, EncodeTarget(Target{
			Name: n, Team: "t", Service: rapid.SampledFrom(append(services, "none")).Draw(t, "service"),
			Match: Match{
				Host:       rapid.SampledFrom([]string{"", "a.nl"}).Draw(t, "host"),
				PathPrefix: rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/ab"}).Draw(t, "path"),
				Methods:    rapid.SampledFrom([][]string{nil, {"GET"}, {"GET", "POST"}}).Draw(t, "methods"),
			},
			Share: rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(t, "share"),
		}))
	}
	return out
}
