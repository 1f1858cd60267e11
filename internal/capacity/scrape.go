package capacity

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
)

// Names of counters of the peer protocol.
const (
	connectionIn  = `marlpass_peer_connection_bytes_total{direction="in"}`
	connectionOut = `marlpass_peer_connection_bytes_total{direction="out"}`
	dialled       = `marlpass_peer_connections_total{side="client"}`
)

// messageKinds are the kinds of message between nodes.
var messageKinds = []string{"exchange", "tell", "pull", "submit", "alert"}

// counters are the counters of one node by name, as /metrics shows them.
type counters map[string]float64

// scraping closes its connections, so that none is counted as a node's.
var scraping = &http.Client{
	Timeout:   10 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// scrapeNode reads a node's metrics as a monitoring system does.
func scrapeNode(n *node.Node) (counters, error) {
	resp, err := scraping.Get("http://" + n.Addrs().Metrics + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	c := counters{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := cutLast(lines.Text())
		if !ok || !strings.HasPrefix(name, "marlpass_peer_") {
			continue
		}
		if c[name], err = strconv.ParseFloat(value, 64); err != nil {
			return nil, err
		}
	}
	return c, lines.Err()
}

func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

// sample is the state of all counters of a mesh at about one moment.
type sample struct {
	at            time.Time // the middle of the scrape
	nodes         []counters
	cpu           time.Duration
	cpuAt         time.Time
	reads, writes int
}

// scrape reads all nodes. The processor time of the scrape itself falls outside
// of the window: cpu is read after it at a window's begin and before it at the
// end.
func scrape(m *localmesh.Mesh, begins bool) (sample, error) {
	var s sample
	if !begins {
		s.cpu, s.cpuAt = cpuTime(), time.Now()
	}
	start := time.Now()
	for _, n := range m.Nodes() {
		c, err := scrapeNode(n)
		if err != nil {
			return sample{}, err
		}
		s.nodes = append(s.nodes, c)
	}
	s.at = start.Add(time.Since(start) / 2)
	counts := m.Store.Counts()
	s.reads, s.writes = counts.Reads, counts.Writes
	if begins {
		s.cpu, s.cpuAt = cpuTime(), time.Now()
	}
	return s, nil
}

// window returns what a node spent between two samples.
func window(a, b sample) Window {
	n := float64(len(a.nodes))
	seconds := b.at.Sub(a.at).Seconds()
	mean := func(name string) float64 {
		var sum float64
		for i := range a.nodes {
			sum += b.nodes[i][name] - a.nodes[i][name]
		}
		return sum / n / seconds
	}
	w := Window{
		Seconds: seconds,
		BytesIn: mean(connectionIn), BytesOut: mean(connectionOut), Dials: mean(dialled),
		CPU:    (b.cpu - a.cpu).Seconds() / b.cpuAt.Sub(a.cpuAt).Seconds() / n,
		Reads:  float64(b.reads-a.reads) / seconds,
		Writes: float64(b.writes-a.writes) / seconds,
	}
	for i := range a.nodes {
		d := b.nodes[i][connectionIn] + b.nodes[i][connectionOut] - a.nodes[i][connectionIn] - a.nodes[i][connectionOut]
		w.Busiest = max(w.Busiest, d/seconds)
	}
	for _, k := range messageKinds {
		l := `{kind="` + k + `"}`
		w.Kinds = append(w.Kinds, Traffic{
			Kind: k,
			Sent: mean("marlpass_peer_sent_total" + l), Received: mean("marlpass_peer_received_total" + l),
			BytesIn:  mean(`marlpass_peer_message_bytes_total{direction="in",kind="` + k + `"}`),
			BytesOut: mean(`marlpass_peer_message_bytes_total{direction="out",kind="` + k + `"}`),
		})
	}
	return w
}
