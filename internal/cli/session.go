package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/message"
	"github.com/marlpass/marlpass/internal/settings/exit"
)

// app is one run of a subcommand.
type app struct {
	env  Env
	opts *options
}

// server is the admin API of one node.
type server struct {
	url    string
	client *adminapi.Client
}

// session is how a subcommand reaches the servers.
type session struct {
	servers []server
	// whole bounds a command over all servers, read one attempt at a question,
	// and write one at a change.
	whole, read, write time.Duration
	// each bounds one question for a command's record. A write may ask every
	// server twice: to take the change, and for its record after a lost answer.
	each time.Duration
}

// slowestWrite is how long a server may take to refuse a change in an ordinary
// outage: it reads an older head again for some 3 s before it believes it.
const slowestWrite = 4 * time.Second

// writeBound returns the bound of one attempt to write. Half of the whole is left
// to other servers, and to ask for the record.
func writeBound(whole time.Duration, servers int) time.Duration {
	return max(whole/time.Duration(2*servers), min(slowestWrite, whole/2))
}

// slowestRead is how long a server may take for an answer: a handover waits 2 s
// for other nodes and 2.5 s for the platform. With four servers and the default
// timeout, an equal part of it would be over by then at each of them, just when
// something is wrong in the mesh.
const slowestRead = 4 * time.Second

// readBound returns the bound of one attempt to read.
func readBound(whole time.Duration, servers int) time.Duration {
	return min(whole, max(slowestRead, whole/time.Duration(servers)))
}

type bearer string

// Bearer implements adminapi.SecuritySource.
func (b bearer) Bearer(context.Context, adminapi.OperationName) (adminapi.Bearer, error) {
	return adminapi.Bearer{Token: string(b)}, nil
}

// open reads the settings and prepares the servers; it sends nothing.
func (a *app) open() (*session, error) {
	s, token, err := a.opts.load(a.env.Getenv)
	if err != nil {
		return nil, err
	}
	whole := s.Timeout.Duration
	client, err := httpClient(s.CAFile, whole/time.Duration(2*len(s.Servers)))
	if err != nil {
		return nil, err
	}
	out := &session{
		each:  whole / time.Duration(2*len(s.Servers)),
		whole: whole,
		read:  readBound(whole, len(s.Servers)),
		write: writeBound(whole, len(s.Servers)),
	}
	for _, url := range s.Servers {
		c, err := adminapi.NewClient(strings.TrimRight(url, "/")+"/v1", bearer(token), adminapi.WithClient(client))
		if err != nil {
			return nil, usagef("server %s: %v", url, err)
		}
		out.servers = append(out.servers, server{url, c})
	}
	return out, nil
}

// httpClient returns a client that gives a server dialBound to take a connection.
// A VM that is gone takes none, and must not use up the time of those that are
// there; a connection that was not made has changed nothing.
func httpClient(caFile string, dialBound time.Duration) (*http.Client, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = (&net.Dialer{Timeout: dialBound}).DialContext
	t.Proxy = nil
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, usagef("ca_file can't be read: %v", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, usagef("ca_file %s holds no certificate", caFile)
		}
		t.TLSClientConfig = &tls.Config{RootCAs: pool}
	}
	return &http.Client{
		Transport: message.NewTransport(t),
		// A redirect would carry the token to where nobody meant it to go.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, nil
}

// ask runs a query on the first server that answers it.
func ask[T any](ctx context.Context, s *session, query func(context.Context, *adminapi.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.whole)
	defer cancel()
	var none T
	var last error
	for _, server := range s.servers {
		v, err := attempt(ctx, s.read, server, query)
		if err == nil {
			return v, nil
		}
		last = merry.Prepend(err, server.url)
		var d *document
		if errors.As(err, &d) && !tryElsewhere(d) {
			return none, &exitError{exit.Failed, problemLine(&d.Response)}
		}
	}
	return none, &exitError{exit.Failed, "no server answered: " + lastLine(last)}
}

func attempt[T any](ctx context.Context, bound time.Duration, server server, query func(context.Context, *adminapi.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return query(ctx, server.client)
}

type document = adminapi.ProblemStatusCodeWithHeaders

// tryElsewhere reports whether another server may answer what this one can't.
func tryElsewhere(d *document) bool {
	return d.StatusCode >= 500 || d.StatusCode == http.StatusTooManyRequests
}

// changedNothing reports whether err promises that a write took no effect.
// Anything else, such as a connection that broke after it was made, leaves
// open what the server did.
func changedNothing(err error) bool {
	var d *document
	if errors.As(err, &d) {
		return d.StatusCode < 500 || (d.StatusCode == http.StatusServiceUnavailable &&
			strings.HasPrefix(d.Response.Type, admin.TypePrefix))
	}
	var verification *tls.CertificateVerificationError
	if errors.As(err, &verification) {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// lastLine returns the text of err without the client's own prefixes.
func lastLine(err error) string {
	var d *document
	if errors.As(err, &d) {
		return problemLine(&d.Response)
	}
	return err.Error()
}
