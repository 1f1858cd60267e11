package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/message"
)

// announcement is what a server tells its node.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	Version string `json:"version,omitempty"`
	Load    int    `json:"load"`
	Started int64  `json:"started_ms"`
}

// announceBound bounds one announcement.
const announceBound = 2 * time.Second

// Announce tells the node of the server until ctx ends, then withdraws it. It
// does nothing without a node in the settings.
func (s *Server) Announce(ctx context.Context) {
	if *s.node.Load() == "" {
		return
	}
	last := State("")
	tick := time.NewTicker(announceTick)
	defer tick.Stop()
	next := time.Now()
	for {
		now := time.Now()
		if st := s.State(); !s.Down() && (st != last || !now.Before(next)) {
			if err := s.put(ctx, st); err != nil {
				s.log.Warn().Err(err).Msg("backend: the node took no announcement")
			} else {
				last = st
			}
			next = now.Add(s.set.AnnounceEvery.Duration)
		}
		select {
		case <-ctx.Done():
			s.withdraw()
			return
		case <-tick.C:
		}
	}
}

// announceTick is how soon a change of state is told.
const announceTick = 10 * time.Millisecond

func (s *Server) url() string {
	return strings.TrimSuffix(*s.node.Load(), "/") + "/v1/backends/" + url.PathEscape(s.set.Instance)
}

func (s *Server) put(ctx context.Context, st State) error {
	address := s.set.Advertise
	if address == "" {
		address = s.Addr()
	}
	body, err := json.Marshal(announcement{
		Service: s.set.Service, Address: address, Slots: s.set.Slots, State: st, Version: s.set.Version,
		Load: s.slots.busy(), Started: s.started.Load(),
	})
	if err != nil {
		return err
	}
	return s.tell(ctx, http.MethodPut, body)
}

// withdraw tells the node that the server is gone. The context that ended the
// announcements must not end this one.
func (s *Server) withdraw() {
	if err := s.tell(context.Background(), http.MethodDelete, nil); err != nil {
		s.log.Warn().Err(err).Msg("backend: could not withdraw")
	}
}

func (s *Server) tell(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceBound)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.url(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := nodes.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxNodeAnswer))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("backend: the node answered %s", resp.Status)
	}
	return nil
}

const maxNodeAnswer = 64 << 10

// nodes are the connections to the nodes beside backend servers.
var nodes = &http.Client{Transport: message.NewTransport(new(http.Transport))}
