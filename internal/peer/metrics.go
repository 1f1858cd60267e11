package peer

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/marlpass/marlpass/internal/trust"
)

// Metrics counts the control traffic of one node. Bytes of connections include
// HTTP and TLS; bytes by kind are those of the encoded messages alone.
type Metrics struct {
	connIn             *metrics.Counter
	connOut            *metrics.Counter
	opened             *metrics.Counter
	accepted           *metrics.Counter
	kinds              map[kind]*kindMetrics
	refused            map[trust.Reason]*metrics.Counter
	identityMismatches *metrics.Counter
}

// kind is a kind of message, and the value of its metric label.
type kind string

const (
	kindExchange kind = "exchange"
	kindPush     kind = "tell" // the metric label keeps this value
	kindPull     kind = "pull"
	kindSubmit   kind = "submit"
	kindAlert    kind = "alert"
	kindReport   kind = "report"
	kindRollout  kind = "rollout"
	kindUsage    kind = "usage"
)

type kindMetrics struct {
	sent, received, errors, bytesIn, bytesOut *metrics.Counter
}

// NewMetrics registers the counters in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{
		connIn:             set.NewCounter(`marlpass_peer_connection_bytes_total{direction="in"}`),
		connOut:            set.NewCounter(`marlpass_peer_connection_bytes_total{direction="out"}`),
		opened:             set.NewCounter(`marlpass_peer_connections_total{side="client"}`),
		accepted:           set.NewCounter(`marlpass_peer_connections_total{side="server"}`),
		identityMismatches: set.NewCounter(`marlpass_peer_impostors_total`),
		kinds:              make(map[kind]*kindMetrics),
		refused:            make(map[trust.Reason]*metrics.Counter),
	}
	for _, k := range []kind{kindExchange, kindPush, kindPull, kindSubmit, kindAlert, kindReport, kindRollout, kindUsage} {
		l := `{kind="` + string(k) + `"}`
		m.kinds[k] = &kindMetrics{
			sent:     set.NewCounter("marlpass_peer_sent_total" + l),
			received: set.NewCounter("marlpass_peer_received_total" + l),
			errors:   set.NewCounter("marlpass_peer_errors_total" + l),
			bytesIn:  set.NewCounter(`marlpass_peer_message_bytes_total{direction="in",kind="` + string(k) + `"}`),
			bytesOut: set.NewCounter(`marlpass_peer_message_bytes_total{direction="out",kind="` + string(k) + `"}`),
		}
	}
	for _, r := range trust.Reasons {
		m.refused[r] = set.NewCounter(`marlpass_peer_refused_total{reason="` + string(r) + `"}`)
	}
	return m
}

// Refused counts a rejected peer. It fits trust.Options.OnRefused.
func (m *Metrics) Refused(e *trust.RefusedError) {
	if c := m.refused[e.Reason]; c != nil {
		c.Inc()
	}
}

// RefusedCount returns how many peers were rejected for a reason.
func (m *Metrics) RefusedCount(r trust.Reason) uint64 { return m.refused[r].Get() }

// ConnectionBytes returns the bytes read from and written to all connections.
func (m *Metrics) ConnectionBytes() (in, out uint64) { return m.connIn.Get(), m.connOut.Get() }

// Connections returns how many connections were opened and accepted.
func (m *Metrics) Connections() (opened, accepted uint64) { return m.opened.Get(), m.accepted.Get() }

// Messages returns how many requests were sent, and received from others.
func (m *Metrics) Messages() (sent, received uint64) {
	for _, k := range m.kinds {
		sent += k.sent.Get()
		received += k.received.Get()
	}
	return sent, received
}

// Errors returns how many requests failed.
func (m *Metrics) Errors() uint64 {
	var n uint64
	for _, k := range m.kinds {
		n += k.errors.Get()
	}
	return n
}

// countedConn counts the bytes of a connection below TLS.
type countedConn struct {
	net.Conn
	m *Metrics
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.connIn.Add(n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.connOut.Add(n)
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	m *Metrics
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.m.accepted.Inc()
	if t, ok := c.(*net.TCPConn); ok {
		// Keep-alive packets detect a peer that vanished without closing.
		_ = t.SetKeepAlivePeriod(keepAlive)
	}
	return &countedConn{c, l.m}, nil
}

const keepAlive = time.Minute
