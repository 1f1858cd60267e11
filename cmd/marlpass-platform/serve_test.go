package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/settings/strict"
)

func TestSampleSettingsAreTheDefaults(t *testing.T) {
	sample, err := load("platform.toml", "")
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := load("", "")
	if err != nil {
		t.Fatal(err)
	}
	if sample != defaults {
		t.Errorf("sample   %+v\ndefaults %+v", sample, defaults)
	}
}

// The program is told to stop while a call is under way. A call that ends
// within the timeout must get its answer. One that doesn't is cut off, and the
// program must say so and not exit as if all were well.
func TestShutdownWithACallUnderWay(t *testing.T) {
	tests := []struct {
		name     string
		switches switches
		timeout  time.Duration
		cutOff   bool
	}{
		{"slow call", switches{Slow: strict.Duration{Duration: 200 * time.Millisecond}}, time.Minute, false},
		{"held call", switches{Frozen: true}, 20 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := load("", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s.Switches, s.ShutdownTimeout.Duration = test.switches, test.timeout
			file := filepath.Join(t.TempDir(), "addr")
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- serve(ctx, s, file, io.Discard) }()
			url := "http://" + readWhenThere(t, file)
			called := make(chan error, 1)
			go func() {
				resp, err := http.Get(url + "/v1/row?key=head")
				if err == nil {
					resp.Body.Close()
				}
				called <- err
			}()
			for !strings.Contains(get(t, url+"/metrics"), "marlpass_platform_reads_total 1\n") {
				time.Sleep(time.Millisecond)
			}
			stop()
			if err := <-called; (err != nil) != test.cutOff {
				t.Errorf("the call: %v", err)
			}
			if err := <-ended; (err != nil) != test.cutOff {
				t.Errorf("the program: %v", err)
			}
		})
	}
}

func readWhenThere(t *testing.T, file string) string {
	t.Helper()
	for {
		data, err := os.ReadFile(file)
		if err == nil {
			return strings.TrimSpace(string(data))
		}
		time.Sleep(time.Millisecond)
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
