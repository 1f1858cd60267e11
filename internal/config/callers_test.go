package config

import (
	"errors"
	"strings"
	"testing"
)

func TestCallersAreChecked(t *testing.T) {
	for _, c := range []struct {
		v    Callers
		want string
	}{
		{Callers{}, ""},
		{Callers{HeaderBytes: 16 << 10, BodyBytes: 1 << 26, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}, ""},
		{Callers{HeaderBytes: 100}, "header_bytes"},
		{Callers{HeaderBytes: 1 << 30}, "header_bytes"},
		{Callers{BodyBytes: -1}, "body_bytes"},
		{Callers{HeaderTimeoutMS: -1}, "header_timeout_ms"},
		{Callers{IdleTimeoutMS: 1 << 40}, "idle_timeout_ms"},
	} {
		s, err := New(1, Hash{}, []Object{EncodeCallers(c.v)})
		if err != nil || s.Callers() != c.v {
			t.Fatalf("%v %+v", err, s)
		}
		err = s.Check()
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v", c.v, err)
		}
	}
}

// Two objects that bound callers would leave it to their order which one holds.
func TestCallersStandOnce(t *testing.T) {
	o := EncodeCallers(Callers{})
	o.Key.Name = "more"
	s, err := New(1, Hash{}, []Object{o})
	if err != nil {
		t.Fatal(err)
	}
	var bad *ObjectError
	if !errors.As(s.DecodeError(), &bad) || bad.Key != o.Key {
		t.Errorf("%v", s.DecodeError())
	}
}
