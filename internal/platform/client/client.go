// Package client reaches the platform over HTTP by the API that
// api/platform.yaml describes.
//
// Every operation is bounded twice: each try by Options.Timeout and the whole,
// with its retries, by Options.Total. Reads are retried. A transaction is
// retried only while it certainly did not take effect; as soon as that is in
// doubt the operation ends with platform.ErrUnknown, and the caller has to
// read back. Writes of objects are idempotent and are retried in both cases.
//
// A failed try did certainly not take effect if no connection was ever at hand
// for it, or if the answer says so (status 429, or a problem document with
// notApplied). Everything else (a timeout, a reset, an answer cut short, an
// error page of something in between) leaves it in doubt.
package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"github.com/marlpass/marlpass/internal/gen/platformapi"
	"github.com/marlpass/marlpass/internal/message"
	"github.com/marlpass/marlpass/internal/platform"
)

// Defaults of Options.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultTotal        = 6 * time.Second
	DefaultTries        = 4
	DefaultConcurrency  = 32
	DefaultFirstBackoff = 50 * time.Millisecond
	DefaultMaxBackoff   = time.Second
)

// MaxObject is the size in bytes of the largest object that can be stored.
const MaxObject = 16 << 20

// Options say how to reach the platform. Zero values take the defaults.
type Options struct {
	URL          string        // like http://10.1.0.5:7300
	Timeout      time.Duration // bound of one try
	Total        time.Duration // bound of an operation with its retries
	Tries        int           // number of tries of an operation
	Concurrency  int           // number of tries under way at once
	FirstBackoff time.Duration // mean wait before the second try
	MaxBackoff   time.Duration // largest mean wait between two tries
	// Dial opens connections, by TCP if nil. It is not used with Transport.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Transport replaces the client's own. Unless it's an *http.Transport, a
	// write that it fails counts as in doubt even if nothing was sent.
	Transport http.RoundTripper
}

// Client is a platform reached over HTTP. It's safe for concurrent use.
type Client struct {
	options Options
	api     *platformapi.Client
	slots   *semaphore.Weighted
	// idle closes idle connections, or is nil.
	idle interface{ CloseIdleConnections() }
	// traces says whether the transport reports that it has a connection.
	traces  bool
	metrics *counters
	health  health
}

// New returns a client. It connects when it's first used.
func New(o Options) (*Client, error) {
	u, err := url.Parse(o.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("platform client: URL %q is not like http://10.1.0.5:7300", o.URL)
	}
	o = o.withDefaults()
	if o.Transport == nil {
		o.Transport = message.NewTransport(newTransport(o))
	}
	c := &Client{
		options: o,
		slots:   semaphore.NewWeighted(int64(o.Concurrency)),
		metrics: newCounters(),
	}
	c.idle, _ = o.Transport.(interface{ CloseIdleConnections() })
	switch o.Transport.(type) {
	case *http.Transport, *message.Transport:
		c.traces = true
	}
	c.api, err = platformapi.NewClient(o.URL, platformapi.WithClient(&http.Client{
		Transport: watched{o.Transport},
		// Following a redirect would send a transaction a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}))
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	return c, nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.Total, DefaultTotal)
	setDefault(&o.Tries, DefaultTries)
	setDefault(&o.Concurrency, DefaultConcurrency)
	setDefault(&o.FirstBackoff, DefaultFirstBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	return o
}

func setDefault[T ~int | ~int64](v *T, standard T) {
	if *v <= 0 {
		*v = standard
	}
}

// Table returns the platform's transactional table.
func (c *Client) Table() platform.Table { return table{c} }

// Objects returns the platform's object store.
func (c *Client) Objects() platform.Objects { return objects{c} }

// Metrics returns the client's counters, to be registered or written out.
func (c *Client) Metrics() *metrics.Set { return c.metrics.set }

// Health tells whether the platform answers, and since when.
func (c *Client) Health() Health { return c.health.load() }

// Close closes idle connections.
func (c *Client) Close() {
	if c.idle != nil {
		c.idle.CloseIdleConnections()
	}
}
