package capacity

import (
	"encoding/json"
	"os"
	"time"
)

// Raw holds everything that was measured, as it stands in docs/capacity/raw.json.
type Raw struct {
	Machine Machine       `json:"machine"`
	Mesh    []MeshPoint   `json:"mesh"`
	Calls   []CallPoint   `json:"calls"`
	Chains  []ChainPoint  `json:"chains"`
	Flight  []FlightPoint `json:"flight"`
	Claims  []ClaimPoint  `json:"claims"`
	Configs []ConfigPoint `json:"configs"`
	Subsets []SubsetPoint `json:"subsets"`
	Reads   []ReadPoint   `json:"platform_reads"`
	Benches []BenchPoint  `json:"benchmarks"`
	Gossip  []GossipPoint `json:"membership_virtual"`
}

// Machine is where the figures come from.
type Machine struct {
	GoVersion string `json:"go"`
	Arch      string `json:"arch"`
	Cores     int    `json:"cores"`
}

// Load is how busy the machine was around a measurement, by its one-minute load
// average. Other work on the machine shows in it.
type Load struct {
	Before float64 `json:"load_before"`
	After  float64 `json:"load_after"`
}

// Traffic is what one node sent and received in a window, each a second.
type Traffic struct {
	Kind     string  `json:"kind"`
	Sent     float64 `json:"sent_s"`
	Received float64 `json:"received_s"`
	BytesIn  float64 `json:"bytes_in_s"`
	BytesOut float64 `json:"bytes_out_s"`
}

// Window is what one node spent in a window of time, on average and, for bytes,
// at the busiest node.
type Window struct {
	Seconds    float64   `json:"seconds"`
	BytesIn    float64   `json:"bytes_in_s"`
	BytesOut   float64   `json:"bytes_out_s"`
	Busiest    float64   `json:"busiest_bytes_s"`
	Kinds      []Traffic `json:"kinds"`
	CPU        float64   `json:"cpu_s_per_node_s"`
	Reads      float64   `json:"platform_reads_s"`  // of the whole mesh
	Writes     float64   `json:"platform_writes_s"` // of the whole mesh
	Dials      float64   `json:"dials_s"`           // connections opened by a node
	Goroutines float64   `json:"goroutines"`        // of a node
}

// Messages returns the messages that a node sent and answered a second.
func (w *Window) Messages() (sum float64) {
	for _, k := range w.Kinds {
		sum += k.Sent + k.Received
	}
	return sum
}

// MeshPoint is one mesh of real nodes in one process.
type MeshPoint struct {
	Nodes   int     `json:"nodes"`
	Profile string  `json:"profile"`
	Prior   int     `json:"prior_changes"` // in a burst, before the figures
	Settle  float64 `json:"settle_s"`      // left alone before the figures
	Load
	ReadyMS   float64 `json:"ready_ms"`
	Idle      Window  `json:"idle"`
	Changing  Window  `json:"changing"`
	Changes   int     `json:"changes"`
	AcceptMS  float64 `json:"accept_ms_p50"`
	Tail      float64 `json:"tail_s"` // of Changing, after the last change
	InForce   Quantum `json:"in_force_ms"`
	Heap      float64 `json:"heap_bytes_per_node"`
	Stack     float64 `json:"stack_bytes_per_node"`
	RSS       float64 `json:"rss_bytes_per_node"`
	BaseRSS   float64 `json:"rss_bytes_without_nodes"`
	Files     float64 `json:"files_per_node"`
	ProcessMB float64 `json:"process_rss_mb"`
}

// Quantum holds quantiles.
type Quantum struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Ways that a call can take. The differences between them are what one role
// costs.
const (
	WayDirect      = "direct"      // client, backend server
	WayDestination = "destination" // client, destination node, backend server
	WayMesh        = "mesh"        // client, entry node, destination node, backend server
)

// CallPoint is one stream of calls by one way at one rate.
type CallPoint struct {
	Way  string  `json:"way"`
	Rate float64 `json:"calls_s"`
	Load
	Calls  int     `json:"calls"`
	Bad    int     `json:"bad"`         // not answered in full
	CPU    float64 `json:"cpu_s_per_s"` // of the whole process
	Allocs float64 `json:"allocs_call"` // in the whole process
	Bytes  float64 `json:"bytes_call"`  // allocated in the whole process
	Micros Quantum `json:"latency_us"`  // from the moment the call was due
}

// ChainPoint is a call that is passed on from backend server to backend server.
type ChainPoint struct {
	Depth int `json:"depth"`
	Load
	Calls  int     `json:"calls"`
	Bad    int     `json:"bad"`
	Mesh   Quantum `json:"mesh_us"`   // every step through the mesh
	Direct Quantum `json:"direct_us"` // every step straight to the backend server
}

// FlightPoint is the memory of a process while calls are in flight.
type FlightPoint struct {
	Way        string  `json:"way"`
	InFlight   int     `json:"in_flight"`
	Heap       float64 `json:"heap_bytes"`
	Stack      float64 `json:"stack_bytes"`
	Goroutines int     `json:"goroutines"`
	Files      int     `json:"files"`
}

// ClaimPoint is a stream of keyed calls.
type ClaimPoint struct {
	Rate float64 `json:"calls_s"`
	Load
	Endpoints int     `json:"endpoints"`
	Calls     int     `json:"calls"`
	Bad       int     `json:"bad"`
	Writes    float64 `json:"writes_per_call"`
	Reads     float64 `json:"reads_per_call"`
}

// ConfigPoint is what one version costs a node, by its size.
type ConfigPoint struct {
	Services      int     `json:"services"`
	Targets       int     `json:"targets"`
	SnapshotBytes int     `json:"snapshot_wire_bytes"`
	DeltaBytes    int     `json:"delta_wire_bytes"`
	Heap          float64 `json:"heap_bytes"` // of snapshot and matcher
	ApplyUS       float64 `json:"apply_delta_us"`
	CheckUS       float64 `json:"check_us"`
	CompileUS     float64 `json:"compile_us"`
	MatchNS       float64 `json:"match_ns"`
}

// SubsetPoint is how entry nodes share the endpoints of one service.
type SubsetPoint struct {
	Nodes       int     `json:"nodes"` // of one data centre
	Endpoints   int     `json:"endpoints"`
	PerEndpoint Quantum `json:"nodes_per_endpoint"`
	PerNode     float64 `json:"endpoints_per_node"`
}

// ReadPoint is what one read of the platform costs the processes at both ends.
type ReadPoint struct {
	Rate float64 `json:"reads_s"`
	CPU  float64 `json:"cpu_s_per_s"`
}

// BenchPoint is one line of a Go benchmark.
type BenchPoint struct {
	Package string      `json:"package"`
	Name    string      `json:"name"`
	Values  []BenchUnit `json:"values"`
}

// BenchUnit is one figure of a benchmark's line.
type BenchUnit struct {
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Value returns the figure in the given unit, and whether there is one.
func (b *BenchPoint) Value(unit string) (float64, bool) {
	for _, v := range b.Values {
		if v.Unit == unit {
			return v.Value, true
		}
	}
	return 0, false
}

// GossipPoint is the membership's protocol in virtual time: its state machines
// without sockets.
type GossipPoint struct {
	Nodes     int     `json:"nodes"`
	Bytes     float64 `json:"bytes_s"`
	Busiest   float64 `json:"busiest_bytes_s"`
	Messages  float64 `json:"messages_s"`
	LazyMS    float64 `json:"lazy_ms"`
	UrgentMS  float64 `json:"urgent_ms"`
	AppliedMS float64 `json:"applied_ms"`
}

// Read reads raw figures from a file.
func Read(path string) (*Raw, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(Raw)
	return r, json.Unmarshal(b, r)
}

// Write writes raw figures to a file.
func (r *Raw) Write(path string) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
