package node_test

import (
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/call"
)

// Guards against metrics that are missing on the operators' page, and against counts of a class
// that differ from the answers its callers got.
func TestMetricsAreTrueAndDocumented(t *testing.T) {
	w := startMesh(t, 2, nil)
	entry, dest := w.VMs[0], w.VMs[1]
	w.hold(dest)
	dest.Backends()[0].SetSlowdown(100)
	for i := range 5 {
		if a := w.ask(entry, http.MethodPost, lookup, string(rune('a'+i))); a.status != http.StatusOK {
			t.Fatal(a)
		}
	}
	if a := w.ask(entry, http.MethodGet, "/nowhere", "x"); a.notRun != call.ReasonNoRoute {
		t.Fatal(a)
	}
	for name, want := range map[string]float64{
		`marlpass_call_duration_seconds_count{class="lookups"}`:            5,
		`marlpass_call_duration_seconds_bucket{class="lookups",le="+Inf"}`: 5,
		`marlpass_call_failed_total{class="lookups"}`:                      0,
		`marlpass_call_refused_total{class="",reason="no-route"}`:          1,
		`marlpass_call_part_seconds_count{service="berths",part="way"}`:    5,
		`marlpass_call_part_seconds_count{service="berths",part="wait"}`:   5,
		`marlpass_call_part_seconds_count{service="berths",part="run"}`:    5,
		`marlpass_call_retry_budget{service="berths"}`:                     3.5,
		`marlpass_service_endpoints_ejected{service="berths"}`:             0,
		`marlpass_config_version_in_force`:                                 3,
		`marlpass_service_endpoints_ready{service="berths"}`:               1,
		`marlpass_node_ready`:           1,
		`marlpass_node_calls_in_flight`: 0,
		`marlpass_membership_nodes`:     2,
	} {
		w.reaches(entry, name, want)
	}
	w.reaches(dest, `marlpass_backend_slowdown{instance="a"}`, 1)
	w.reaches(dest, `marlpass_backend_declined_total{instance="a"}`, 0)
	run := w.metric(dest, `marlpass_backend_run_seconds{instance="a",class="lookups"}`)
	relative := w.metric(entry, `marlpass_service_relative_run{service="berths",endpoint="slowest"}`)
	if run <= 0 || relative < 0.5 || relative > 2 { // the only endpoint is about as fast as the mean
		t.Errorf("the mean run time is %v, %v times that of the service", run, relative)
	}
	w.reaches(dest, `marlpass_gate_done_total{instance="a",class="lookups"}`, 5)
	doc, err := os.ReadFile("../../docs/operators/metrics.md")
	w.must(err)
	seen := make(map[string]bool)
	for _, vm := range w.VMs {
		for line := range strings.Lines(w.page(vm, "/metrics")) {
			name, _, _ := strings.Cut(strings.TrimSpace(line), " ")
			name, _, _ = strings.Cut(name, "{")
			for _, suffix := range []string{"_bucket", "_sum", "_count"} {
				name = strings.TrimSuffix(name, suffix)
			}
			if strings.HasPrefix(name, "marlpass_") && !seen[name] {
				seen[name] = true
				if !strings.Contains(string(doc), "`"+name+"`") {
					t.Errorf("%s is not in docs/operators/metrics.md", name)
				}
			}
		}
	}
}
