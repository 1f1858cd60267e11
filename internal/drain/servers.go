package drain

import (
	"context"
	"errors"
	"sync"
)

// Stopper is a server that can stop accepting while it goes on serving.
type Stopper interface {
	// StopAccepting takes no new connection any more, but for those that wait already.
	StopAccepting(context.Context)
	// Shutdown closes the connections once they are idle.
	Shutdown(context.Context) error
}

// Servers are the servers of one process. Calls counts the calls of all of them.
type Servers struct {
	Calls *Calls
	List  []Stopper
}

// Shutdown stops the servers on plan, or returns ctx's error.
//
// It keeps the order that cuts no call. While calls are in flight whoever comes is told to go
// elsewhere. Then the sockets close, so that nobody can begin anew; what comes on the connections that
// are left is answered, each answer ending its connection; and only once nothing comes any more are
// the silent ones closed.
func (s *Servers) Shutdown(ctx context.Context) error {
	s.Calls.StartDraining()
	if err := s.Calls.waitIdle(ctx); err != nil {
		return err
	}
	s.each(func(one Stopper) error { one.StopAccepting(ctx); return nil })
	s.Calls.noneNew.Store(true)
	if err := s.Calls.Wait(ctx); err != nil {
		return err
	}
	return s.each(func(one Stopper) error { return one.Shutdown(ctx) })
}

// each does something with all servers at once.
func (s *Servers) each(do func(Stopper) error) error {
	errs := make([]error, len(s.List))
	var all sync.WaitGroup
	for i, one := range s.List {
		all.Go(func() { errs[i] = do(one) })
	}
	all.Wait()
	return errors.Join(errs...)
}
