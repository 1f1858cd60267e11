package node_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
)

// BenchmarkLeaveIsHeard measures the time from the start of a node's leave until the last node of
// a mesh of three data centres stops picking its backend server. Each round another node leaves
// and none returns: run it with -benchtime 4x or so.
func BenchmarkLeaveIsHeard(b *testing.B) {
	for _, profile := range []string{settings.ProfileTime, settings.ProfileBytes} {
		for _, nodes := range []int{12, 36} {
			b.Run(fmt.Sprintf("profile=%s/nodes=%d", profile, nodes), func(b *testing.B) {
				leaveIsHeard(b, profile, nodes/3)
			})
		}
	}
}

func leaveIsHeard(b *testing.B, profile string, perDC int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	m, err := localmesh.Start(localmesh.Options{
		Name: "leave", Profile: profile, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{
			{Name: "a", Region: "r1", VMs: perDC}, {Name: "b", Region: "r1", VMs: perDC}, {Name: "c", Region: "r2", VMs: perDC},
		},
	})
	must(b, err)
	defer m.Close()
	must(b, m.WaitReady(ctx))
	for _, vm := range m.VMs {
		set := backend.Defaults()
		set.ColdStart.Duration = 0
		_, err := m.StartBackend(ctx, vm, set)
		must(b, err)
	}
	left := len(m.VMs)
	must(b, m.WaitEndpoints(ctx, service, left))
	var last []float64
	for i := range b.N {
		vm := m.VMs[(i*7)%len(m.VMs)]
		begin := time.Now()
		stopped := make(chan error, 1)
		go func() { stopped <- vm.Stop(ctx) }()
		must(b, m.WaitFor(ctx, func(n *node.Node) bool { return n.Endpoints(service) < left }))
		last = append(last, float64(time.Since(begin).Milliseconds()))
		must(b, <-stopped)
		left--
	}
	slices.Sort(last)
	b.ReportMetric(last[len(last)/2], "heard-p50-ms")
	b.ReportMetric(last[len(last)-1], "heard-max-ms")
	b.ReportMetric(0, "ns/op")
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
