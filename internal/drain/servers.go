package drain

import (
	"context"
	"errors"
	"sync"
)

// Stopper is a server that can stop accepting connections while it keeps serving.
type Stopper interface {
	// StopAccepting accepts the connections that are waiting, and then closes the socket.
	StopAccepting(context.Context)
	// Shutdown closes the connections once they are idle.
	Shutdown(context.Context) error
}

// Servers holds the servers of one process. Calls counts the calls of all of them.
type Servers struct {
	Calls *Calls
	List  []Stopper
}

// Shutdown stops the servers without losing a call, or returns ctx's error.
//
// While calls are in flight, each response closes its connection, so that clients go elsewhere. Then
// the sockets close. Calls that still arrive on the remaining connections are answered, and each
// response closes its connection. Once no more calls arrive, the idle connections close.
func (s *Servers) Shutdown(ctx context.Context) error {
	s.Calls.StartDraining()
	if err := s.Calls.waitIdle(ctx); err != nil {
		return err
	}
	s.forEach(func(server Stopper) error { server.StopAccepting(ctx); return nil })
	s.Calls.acceptStopped.Store(true)
	if err := s.Calls.Wait(ctx); err != nil {
		return err
	}
	return s.forEach(func(server Stopper) error { return server.Shutdown(ctx) })
}

// forEach calls do for all servers concurrently.
func (s *Servers) forEach(do func(Stopper) error) error {
	errs := make([]error, len(s.List))
	var wg sync.WaitGroup
	for i, server := range s.List {
		wg.Go(func() { errs[i] = do(server) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
