package announce

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/gen/announceapi"
)

// serve runs the API on a loopback socket and returns its base URL.
func serve(t *testing.T, s *Server) string {
	t.Helper()
	h, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return "http://" + l.Addr().String() + "/v1"
}

func TestAnnounceOverSockets(t *testing.T) {
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
	var told []ChangeKind
	url := serve(t, NewServer(r, func() time.Time { return start }, func(c []Change) { told = append(told, kinds(c)...) }))
	client, err := announceapi.NewClient(url)
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	say := &announceapi.Announcement{Service: "berth", Address: "127.0.0.1:8080", Slots: 6, State: announceapi.StateReady}
	params := announceapi.PutBackendParams{Instance: "a"}
	for range 2 {
		lease, err := client.PutBackend(ctx, say, params)
		if err != nil {
			t.Fatal(err)
		}
		if lease.TTLMs != 3000 || lease.RenewEveryMs != 1000 {
			t.Errorf("lease %+v", lease)
		}
	}
	say.State = announceapi.StateDraining
	if _, err := client.PutBackend(ctx, say, params); err != nil {
		t.Fatal(err)
	}
	list, err := client.ListBackends(ctx)
	if err != nil || len(list.Backends) != 1 || list.Backends[0].State != announceapi.StateDraining {
		t.Errorf("list %+v, %v", list, err)
	}
	for range 2 {
		if err := client.WithdrawBackend(ctx, announceapi.WithdrawBackendParams{Instance: "a"}); err != nil {
			t.Fatal(err)
		}
	}
	want := []ChangeKind{Added, Changed, Withdrawn}
	if len(told) != 3 || told[0] != want[0] || told[1] != want[1] || told[2] != want[2] {
		t.Errorf("told of %v, want %v", told, want)
	}
}

func TestBadAnnouncementNamesItsField(t *testing.T) {
	const good = `{"service":"berth","address":"127.0.0.1:1","slots":6,"state":"ready"}`
	tests := []struct {
		name, instance, body string
		status               int
		field                string
	}{
		{"unknown field", "a", `{"weight":3}`, 400, `"field":"weight"`},
		{"wrong type", "a", `{"slots":"six"}`, 400, `"field":"slots"`},
		{"missing field", "a", `{"service":"berth"}`, 422, `"field":"address"`},
		{"bad state", "a", strings.Replace(good, "ready", "warm", 1), 422, `"field":"state"`},
		{"not loopback", "a", strings.Replace(good, "127.0.0.1", "10.0.0.1", 1), 422, `"field":"address"`},
		{"bad instance", "A!", good, 400, `"field":"instance"`},
		{"too large", "a", strings.Repeat(" ", MaxBodyBytes+1) + good, 413, `"detail"`},
		{"one too many", "b", strings.Replace(good, ":1", ":2", 1), 429, `"detail"`},
	}
	r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: 1})
	put(t, r, start, berth("held", "127.0.0.1:9"))
	url := serve(t, NewServer(r, time.Now, func([]Change) { t.Error("the mesh was told") }))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			req, _ := http.NewRequest(http.MethodPut, url+"/backends/"+test.instance, strings.NewReader(test.body))
			req.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != test.status || !strings.Contains(string(body), test.field) {
				t.Errorf("%d %s, want %d with %s", resp.StatusCode, body, test.status, test.field)
			}
			if got := resp.Header.Get("Content-Type"); got != "application/problem+json" {
				t.Errorf("content type %q", got)
			}
		})
	}
}

func TestListenRefusesOtherThanLoopback(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", ":0", "192.0.2.1:80", "localhost:0"} {
		if l, err := Listen(address); !errors.Is(err, ErrNotLoopback) {
			t.Errorf("%s: %v, %v", address, l, err)
		}
	}
}

func TestRunExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: DefaultMaxBackends})
		told := make(chan []Change, 1)
		s := NewServer(r, time.Now, func(c []Change) { told <- c })
		put(t, r, time.Now(), berth("a", "127.0.0.1:1"))
		ctx, stop := context.WithCancel(context.Background())
		go s.Run(ctx)
		wantKinds(t, <-told, Expired)
		stop()
		synctest.Wait()
	})
}
