package main

import (
	"fmt"
	"net/http"
	"time"
)

// connectionHeader plays a client that names the header Caller-Service in its Connection header, as one
// that concerns this connection alone. The endpoint has to get the name that the system sets all the
// same.
func connectionHeader(s *scenario) ([]string, error) {
	services := []string{"berth-svc", "records-svc"}
	s.configure(1, services, route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "berth-svc", timeout: 1500 * time.Millisecond})
	for i, service := range services {
		if _, _, err := s.addMachine([]string{"neg-shed", "gal-shed"}[i], service); err != nil {
			return nil, err
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	header := map[string]string{"Caller-Service": "another"}
	if s.trouble {
		header["Connection"] = "keep-alive, Caller-Service"
	}
	for _, m := range s.machines {
		s.client(m).do(call{method: http.MethodPost, path: "/book/2f", deadline: 3 * time.Second, header: header})
	}
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	var broken []string
	for id, runs := range s.rec.runs {
		for _, v := range runs {
			if want := s.rec.sent[id].service; v.caller != want {
				broken = append(broken, fmt.Sprintf("UNASKED: %s ran at %s with Caller-Service %q, it began beside %s", id, v.server, v.caller, want))
			}
		}
	}
	return broken, nil
}
