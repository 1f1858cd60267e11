package node

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// metricsHandler serves /metrics, /healthz and /readyz.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.control.metrics.WritePrometheus(w)
		if n.control.client != nil {
			n.control.client.Metrics().WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if ok, why := n.Ready(); !ok {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}
