package node

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marlpass/marlpass/internal/telemetry"
)

// metricsHandler serves /metrics, /healthz and /readyz.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p := page{w}
		n.writeState(p)
		n.control.writeMetrics(p)
		n.calls.writeMetrics(p)
		n.servers.writeCapacity(p)
		n.workspaces.writeMetrics(p)
		n.control.metrics.WritePrometheus(w)
		if n.control.client != nil {
			n.control.client.Metrics().WritePrometheus(w)
		}
		if n.o.Metrics != nil {
			n.o.Metrics.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := n.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}

// page writes one metrics response. Counters kept by the parts of the node are read when it is
// written, so that none is kept twice.
type page struct{ w http.ResponseWriter }

// labels are alternating names and values of labels.
type labels []string

func (p page) gauge(name string, v float64, l ...string) {
	metrics.WriteGaugeFloat64(p.w, name+labels(l).String(), v)
}

func (p page) counter(name string, v uint64, l ...string) {
	metrics.WriteCounterUint64(p.w, name+labels(l).String(), v)
}

func (p page) flag(name string, on bool, l ...string) {
	v := 0.0
	if on {
		v = 1
	}
	p.gauge(name, v, l...)
}

// String returns the labels in Prometheus text format, or "" if there are none.
func (l labels) String() string {
	if len(l) == 0 {
		return ""
	}
	var b strings.Builder
	for i := 0; i+1 < len(l); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `%s="%s"`, l[i], telemetry.LabelValue(l[i+1]))
	}
	return "{" + b.String() + "}"
}

// writeState writes the state of the node as a whole.
func (n *Node) writeState(p page) {
	ready, _ := n.Ready()
	p.flag("marlpass_node_ready", ready)
	p.flag("marlpass_node_leaving", n.leaving.Load())
	p.flag("marlpass_node_superseded", n.superseded.Load())
	p.gauge("marlpass_node_calls_in_flight", float64(n.InFlight()))
	cpu, wall := n.controlCPU.totals()
	p.gauge("marlpass_control_cpu_seconds", cpu)
	p.gauge("marlpass_control_cpu_observed_seconds", wall)
	for name, k := range n.control.trust.keepers() {
		p.gauge("marlpass_certificate_expires_timestamp_seconds", float64(k.Expires().Unix()), "certificate", name)
	}
}
