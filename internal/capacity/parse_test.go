package capacity

import "testing"

func TestParseBenchesTakesTheMedian(t *testing.T) {
	text := `goos: linux
pkg: example.org/pkg
BenchmarkHeap/300-12   	      14	  15865997 ns/op	    288416 heap-B
BenchmarkHeap/300-12   	      14	  15865997 ns/op	    300000 heap-B
BenchmarkHeap/300-12   	      14	  15865997 ns/op	    288000 heap-B
BenchmarkSpread/nodes=12/time-12 	 1	 0 ns/op	 62.0 p99_ms
PASS
`
	got, err := parseBenches("./pkg", []byte(text))
	if err != nil || len(got) != 2 {
		t.Fatalf("got %v, %v", got, err)
	}
	if v, ok := got[0].Value("heap-B"); !ok || v != 288416 || got[0].Name != "Heap/300" {
		t.Errorf("got %+v", got[0])
	}
	if v, ok := got[1].Value("p99_ms"); !ok || v != 62 || got[1].Name != "Spread/nodes=12/time" {
		t.Errorf("got %+v", got[1])
	}
}

func TestParseGossip(t *testing.T) {
	text := `=== RUN   TestMeasure
n=1200 peers=16.0 idle_B/s mean=630 max=1739 messages/s=1.98 | heartbeat_B/s=745778 (1184.5x) full_B/s=71576 (113.7x)
n=1200 lazy=14.2s urgent99=500ms urgent=1.6s applied=23.5s applied_B=11407 | 5% loss, 10 min: suspicions=124 false=124 deaths=0 oldest word=31.5s
`
	got, err := parseGossip([]byte(text))
	want := GossipPoint{Nodes: 1200, Bytes: 630, Busiest: 1739, Messages: 1.98, LazyMS: 14200, UrgentMS: 1600, AppliedMS: 23500, AppliedBytes: 11407}
	if err != nil || len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := parseGossip([]byte("ok")); err == nil {
		t.Error("other words were taken for figures")
	}
}
