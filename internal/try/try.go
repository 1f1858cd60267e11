// Package try is the newcomer's tour: a platform, nodes in two data centres and
// the backend servers of a boat yard's two services, in one process on
// loopback. It states targets, makes calls of each class, drains a backend
// server under load, and tells in plain lines what happened.
package try

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/settings"
)

// Run makes the tour and writes to w.
func Run(ctx context.Context, w io.Writer) error {
	m, err := localmesh.Start(localmesh.Options{
		Name: "try", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{
			{Name: "neg-shed", Region: "western", VMs: 2},
			{Name: "gal-shed", Region: "western", VMs: 2},
		},
	})
	if err != nil {
		return err
	}
	defer m.Close()
	start := time.Now()
	if err := m.WaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(w, "try: %d nodes ready after %s\n", len(m.VMs), time.Since(start).Round(time.Millisecond))
	set := backend.Defaults()
	set.Service, set.Instance, set.ColdStart = "berths", "a", 0
	if _, err := m.StartBackend(ctx, m.VMs[0], set); err != nil {
		return err
	}
	c, err := m.Admin(m.VMs[1])
	if err != nil {
		return err
	}
	if _, err := c.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berths"}); err != nil {
		return err
	}
	res, err := c.PutTarget(ctx, &adminapi.TargetSpec{
		Service: "berths", Match: adminapi.Match{PathPrefix: "/berths"}, Idempotent: adminapi.NewOptBool(true),
	}, adminapi.PutTargetParams{Name: "lookups"})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "try: %T\n", res)
	start = time.Now()
	if err := m.WaitVersion(ctx, 2); err != nil {
		return err
	}
	fmt.Fprintf(w, "try: version 2 in force on every node after %s\n", time.Since(start).Round(time.Millisecond))
	if err := m.WaitEndpoints(ctx, "berths", 1); err != nil {
		return err
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.VMs[3].Node().Addrs().Callers+"/berths/7", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	b, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	fmt.Fprintf(w, "try: %s, %d bytes %.200s\n", resp.Status, len(b), b)
	return nil
}
