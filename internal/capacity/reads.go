package capacity

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/client"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
	"github.com/marlpass/marlpass/internal/wait"
)

// readRates are reads a second.
func readRates() []float64 { return []float64{0, 100, 250, 500, 1000} }

const readFor = 3 * time.Second

// headBytes is about the length of a head row.
const headBytes = 200

// MeasureReads measures what reads of the head row cost the processes at both
// ends. It is what a process that holds both nodes and stand-in platform spends
// on the platform.
func MeasureReads(ctx context.Context) ([]ReadPoint, error) {
	store := fake.New()
	row := platform.Write{Key: platform.HeadKey, Value: make([]byte, headBytes)}
	if err := store.Table().Commit(ctx, platform.Txn{Writes: []platform.Write{row}}); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: server.New(store), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	c, err := client.New(client.Options{URL: "http://" + ln.Addr().String(), Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var out []ReadPoint
	for _, rate := range readRates() {
		cpu, start := cpuTime(), time.Now()
		n := int(rate * readFor.Seconds())
		for i := range n {
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
			if _, err := c.Table().Get(ctx, platform.HeadKey); err != nil {
				return nil, err
			}
		}
		if err := wait.For(ctx, time.Until(start.Add(readFor))); err != nil {
			return nil, err
		}
		out = append(out, ReadPoint{Rate: rate, CPU: (cpuTime() - cpu).Seconds() / time.Since(start).Seconds()})
	}
	return out, nil
}
