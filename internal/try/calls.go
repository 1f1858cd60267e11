package try

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/localmesh"
)

// tally counts calls. A call failed when it was not answered whole.
type tally struct {
	mu     sync.Mutex
	made   int
	failed int
	first  error // why the first of them failed
}

func (t *tally) add(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.made++
	if err != nil {
		t.failed++
		if t.first == nil {
			t.first = err
		}
	}
}

// notRunTries is how often a caller of the tour sends a call that it was told
// was not run.
const notRunTries = 5

// call makes one call through a node, and again while it is told that it was
// not run, as a well-behaved caller does.
func (t *tour) call(ctx context.Context, vm *localmesh.VM, c class) error {
	key := uuid.NewString()
	for range notRunTries {
		notRun, err := t.attempt(ctx, vm, c, key)
		if !notRun {
			return err
		}
	}
	return fmt.Errorf("%s: not run after %d tries", c.name, notRunTries)
}

func (t *tour) attempt(ctx context.Context, vm *localmesh.VM, c class, key string) (notRun bool, err error) {
	n := vm.Node()
	if n == nil {
		return false, fmt.Errorf("%s has no node", vm.ID)
	}
	addr := n.Addrs().Callers
	if c.internal {
		addr = n.Addrs().Internal
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+addr+c.path, nil)
	if err != nil {
		return false, err
	}
	req.Header.Set(backend.HeaderRequest, key)
	if c.keyed {
		req.Header.Set(call.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, fmt.Errorf("%s: %w", c.name, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.Header.Get(call.HeaderNotRun) != "":
		return true, nil
	case resp.StatusCode != http.StatusOK:
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return false, fmt.Errorf("%s: status %d %s", c.name, resp.StatusCode, strings.TrimSpace(string(b)))
	}
	return false, backend.CheckAnswer(key, resp.Body)
}

// callsEach is how many calls of each class are made at first.
const callsEach = 50

// callEachClass calls every class through every node in turn.
func (t *tour) callEachClass(ctx context.Context) error {
	for _, c := range classes() {
		began := time.Now()
		for i := range callsEach {
			t.calls.add(t.call(ctx, t.mesh.VMs[i%len(t.mesh.VMs)], c))
		}
		t.say("%d calls of %q answered, %.1f ms each", callsEach, c.name,
			float64(time.Since(began).Microseconds())/1000/callsEach)
		if t.calls.first != nil {
			return t.calls.first
		}
	}
	return t.refuseOutsideCaller(ctx)
}

// refuseOutsideCaller shows that an internal class is closed to callers outside
// the mesh.
func (t *tour) refuseOutsideCaller(ctx context.Context) error {
	url := "http://" + t.mesh.VMs[0].Node().Addrs().Callers + "/surveys/cradles/3"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusForbidden {
		return fmt.Errorf("an outside call of an internal class got status %d, not 403", resp.StatusCode)
	}
	t.say("an outside call of the internal class \"cradles\" was refused")
	return nil
}

// loadEvery is the distance between two calls of a load.
const loadEvery = 4 * time.Millisecond

// underLoad makes calls of all classes through the given VMs, beside do.
func (t *tour) underLoad(ctx context.Context, vms []*localmesh.VM, do func() error) (int, error) {
	stop := make(chan struct{})
	var calls, load sync.WaitGroup
	before := t.calls.made
	load.Go(func() {
		ticker := time.NewTicker(loadEvery)
		defer ticker.Stop()
		all := classes()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				vm, c := vms[i%len(vms)], all[i/len(vms)%len(all)]
				calls.Go(func() { t.calls.add(t.call(ctx, vm, c)) })
			}
		}
	})
	err := do()
	close(stop)
	load.Wait()
	calls.Wait()
	if err == nil {
		err = t.calls.first
	}
	return t.calls.made - before, err
}
