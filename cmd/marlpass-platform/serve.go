package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
	"github.com/marlpass/marlpass/internal/telemetry"
)

const (
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than that of the client, so that it's the client
	// who closes an idle connection and no request meets a closed one.
	idleTimeout = 2 * time.Minute
)

// serve runs the stand-in until ctx ends, and then until the calls under way
// have ended or the shutdown timeout has passed.
func serve(ctx context.Context, s settings, addressFile string, logs io.Writer) error {
	root, err := telemetry.NewLogger(logs, s.LogLevel)
	if err != nil {
		return err
	}
	log := telemetry.Part(root, "platform")
	store := fake.NewSeeded(s.Seed)
	store.Set(s.Switches.fake())
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	if err := writeAddress(addressFile, l.Addr()); err != nil {
		_ = l.Close()
		return err
	}
	log.Info().Stringer("address", l.Addr()).Msg("platform: listening")
	srv := &http.Server{Handler: routes(store), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info().Msg("platform: stopping")
	return shutdown(srv, s.ShutdownTimeout.Duration, log)
}

func shutdown(srv *http.Server, timeout time.Duration, log zerolog.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		_ = srv.Close()
		return fmt.Errorf("calls were still under way after shutdown_timeout (%v) and were cut off", timeout)
	}
	log.Info().Msg("platform: stopped")
	return err
}

// writeAddress writes the file whole or not at all, so that a reader that
// waits for it never sees half an address.
func writeAddress(file string, a net.Addr) error {
	if file == "" {
		return nil
	}
	part := file + ".part"
	if err := os.WriteFile(part, []byte(a.String()+"\n"), 0o644); err != nil {
		return err
	}
	return os.Rename(part, file)
}

func routes(store *fake.Store) http.Handler {
	set := storeMetrics(store)
	mux := http.NewServeMux()
	mux.Handle("/", server.New(store))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if store.Switches().Down {
			http.Error(w, "switched down", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	return mux
}

func storeMetrics(store *fake.Store) *metrics.Set {
	set := metrics.NewSet()
	for name, count := range map[string]func(fake.Counts) int{
		"marlpass_platform_reads_total":        func(c fake.Counts) int { return c.Reads },
		"marlpass_platform_writes_total":       func(c fake.Counts) int { return c.Writes },
		"marlpass_platform_lost_answers_total": func(c fake.Counts) int { return c.Lost },
		"marlpass_platform_limited_total":      func(c fake.Counts) int { return c.Limited },
		"marlpass_platform_failed_total":       func(c fake.Counts) int { return c.Failed },
	} {
		set.NewGauge(name, func() float64 { return float64(count(store.Counts())) })
	}
	return set
}
