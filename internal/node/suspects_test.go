package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// alertCounter counts the alerts.
type alertCounter struct{ alerts int }

func (t *alertCounter) alert(context.Context, string, []membership.Notice) { t.alerts++ }

func newSuspects() (*suspects, *alertCounter) {
	t := new(alertCounter)
	return &suspects{
		list: quarantine.New(time.Now(), quarantine.Options{Self: "vm1"}),
		log:  zerolog.Nop(), alerter: t, setNotices: func([]membership.Notice) {},
	}, t
}

var slowBooking = quarantine.NewFingerprint("POST", "", "/slow", "", nil, 0, nil)

func (s *suspects) begin(t *testing.T, b proxy.Backend) quarantine.Token {
	t.Helper()
	tok, err := s.Start(time.Now(), b, slowBooking, quarantine.Request{})
	if err != nil {
		t.Fatal(err)
	}
	return tok
}

// Guards against a planned replacement counted as a crash. The new process announces itself
// under the same instance while a slow request still runs at the draining one; after two
// replacements the request was quarantined for half an hour.
func TestPlannedReplacementIsNotACrash(t *testing.T) {
	for _, was := range []membership.BackendState{membership.BackendDraining, membership.BackendReady} {
		s, alerts := newSuspects()
		b := proxy.Backend{Service: "berths", Instance: "a", State: membership.BackendReady}
		for range 2 {
			tok := s.begin(t, b)
			s.backendReplaced(b, was)
			s.list.Done(time.Now(), tok, quarantine.Answered)
		}
		if r := s.Blocked(time.Now(), slowBooking); r != nil || alerts.alerts > 0 || s.Isolated(time.Now(), slowBooking) {
			t.Errorf("was %v: blocked %v, %d alerts", was, r, alerts.alerts)
		}
	}
}

// Guards against a missed crash: a backend server restarts under the same instance before the
// crash check. The request whose connection broke is a suspect.
func TestRestartAfterABrokenConnectionIsACrash(t *testing.T) {
	s, alerts := newSuspects()
	b := proxy.Backend{Service: "berths", Instance: "a", State: membership.BackendReady}
	s.list.Done(time.Now(), s.begin(t, b), quarantine.Broken)
	s.backendReplaced(b, membership.BackendReady)
	if !s.Isolated(time.Now(), slowBooking) || alerts.alerts != 1 {
		t.Fatalf("isolated %t, %d alerts", s.Isolated(time.Now(), slowBooking), alerts.alerts)
	}
}

// Guards against suspicion of the requests at a busy backend server that does not accept a new
// connection in time. Only a refused connection shows that no process listens.
func TestBusyBackendServerIsNotACrash(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	for _, tt := range []struct {
		name, addr string
		crash      bool
	}{
		{"refused", gone.Addr().String(), true},
		{"no answer", "no-port", false},
	} {
		s, _ := newSuspects()
		b := proxy.Backend{Service: "berths", Instance: "a", Addr: tt.addr, State: membership.BackendReady}
		s.Done(time.Now(), b, s.begin(t, b), quarantine.Broken)
		s.checksRunning.Wait()
		if got := s.Isolated(time.Now(), slowBooking); got != tt.crash {
			t.Errorf("%s: suspected %t", tt.name, got)
		}
	}
}
