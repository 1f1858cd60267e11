package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/settings/strict"
	"github.com/marlpass/marlpass/internal/telemetry"
)

// name is what meshes, VMs, regions, data centres, operators and teams may be
// called: it goes into table keys and certificates.
var name = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 characters of a-z, 0-9, '-' and '.', not at either end"

var tokenHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Check returns the first problem of the settings read from file.
func (n *Node) Check(file string) error {
	c := checker{file: file}
	c.name("mesh", n.Mesh)
	c.oneOf("profile", n.Profile, ProfileBytes, ProfileTime)
	c.name("vm.id", n.VM.ID)
	c.name("vm.region", n.VM.Region)
	c.name("vm.data_centre", n.VM.DataCentre)
	n.Listen.check(&c, n.Platform.Form)
	c.url("platform.url", n.Platform.URL)
	c.within("platform.timeout", n.Platform.Timeout, time.Millisecond, maxPlatformTimeout)
	for i, s := range n.Peers.Seeds {
		c.addr(fmt.Sprintf("peers.seeds[%d]", i), s)
	}
	c.within("peers.alone_after", n.Peers.AloneAfter, 0, maxAloneAfter)
	n.TLS.check(&c)
	n.checkOperators(&c)
	c.within("drain.limit", n.Drain.Limit, 0, maxDrainLimit)
	c.within("drain.notice", n.Drain.Notice, 0, maxDrainLimit)
	c.within("announce.ttl", n.Announce.TTL, 0, time.Hour)
	c.within("drain.grace", n.Drain.Grace, 0, maxDrainLimit)
	c.within("announce.renew", n.Announce.Renew, 0, time.Hour)
	c.within("drain.word", n.Drain.Word, 0, n.Drain.NoticeOr(time.Second))
	c.within("versions.in_force_within", n.Versions.InForceWithin, 0, time.Hour)
	c.within("workspaces.confirm_within", n.Workspaces.ConfirmWithin, 0, time.Hour)
	c.within("workspaces.quota_window", n.Workspaces.QuotaWindow, 0, time.Hour)
	if n.Workspaces.QuotaOverage < 0 || n.Workspaces.QuotaOverage > 1 {
		c.problem("workspaces.quota_overage", n.Workspaces.QuotaOverage, "a number from 0 to 1")
	}
	if n.Workspaces.QuotaSlack < 0 {
		c.problem("workspaces.quota_slack", n.Workspaces.QuotaSlack, "a number of at least 0")
	}
	n.checkForm(&c)
	c.oneOf("log.level", n.Log.Level, telemetry.LogLevels...)
	if n.Trace.Endpoint != "" {
		c.url("trace.otlp_endpoint", n.Trace.Endpoint)
	}
	if n.Trace.Sample < 0 || n.Trace.Sample > 1 {
		c.problem("trace.sample", n.Trace.Sample, "a number from 0 to 1")
	}
	return c.err
}

// checkForm checks what only one form of the platform asks for.
func (n *Node) checkForm(c *checker) {
	c.oneOf("platform.form", n.Platform.Form, FormOwn, FormRows)
	if n.VM.Backend != "" || n.Platform.Form == FormRows {
		c.addr("vm.backend", n.VM.Backend)
	}
	if n.Platform.Form == FormRows && n.VM.Service == "" {
		c.problem("vm.service", n.VM.Service, "the service of the backend server on this VM")
	}
	if n.Platform.Form == FormOwn && n.Workspaces.ConfirmWithin.Duration > 0 {
		// Accepted, it would be passed over, and keys believed for however long.
		c.problem("workspaces.confirm_within", n.Workspaces.ConfirmWithin, `0s, since nothing confirms keys with the platform's form "own"`)
	}
	if n.VM.LinkMbps < 0 {
		c.problem("vm.link_mbps", n.VM.LinkMbps, "megabits a second, or 0")
	}
	if n.VM.MemoryMB < 0 {
		c.problem("vm.memory_mb", n.VM.MemoryMB, "megabytes, or 0")
	}
	if n.VM.Descriptors < 0 {
		c.problem("vm.descriptors", n.VM.Descriptors, "a number of descriptors, or 0")
	}
	r := n.Retries
	if r.Ratio < 0 || r.Ratio > 1 {
		c.problem("retries.ratio", r.Ratio, "a number from 0 to 1")
	}
	if r.Slack < 0 {
		c.problem("retries.slack", r.Slack, "a number of at least 0")
	}
	if r.Slack > 0 {
		c.within("retries.window", r.Window, time.Second, time.Hour)
	}
}

func (l *Listen) check(c *checker, form string) {
	c.addr("listen.callers", l.Callers)
	c.loopback("listen.internal", l.Internal)
	c.addr("listen.calls", l.Calls)
	c.addr("listen.control", l.Control)
	c.addr("listen.admin", l.Admin)
	if form == FormRows {
		// Where the platform fixes the address, it also keeps others from it.
		c.addr("listen.announce", l.Announce)
	} else {
		c.loopback("listen.announce", l.Announce)
	}
	c.addr("listen.metrics", l.Metrics)
	if l.Ready != "" {
		c.addr("listen.ready", l.Ready)
	}
	l.checkTwice(c)
}

// checkTwice finds two listeners that cannot be open together: the same port on
// the same address, or on one address and on all of them. Port 0 is a free one.
func (l *Listen) checkTwice(c *checker) {
	list := []struct{ key, addr string }{
		{"listen.callers", l.Callers}, {"listen.internal", l.Internal}, {"listen.calls", l.Calls},
		{"listen.control", l.Control}, {"listen.admin", l.Admin}, {"listen.announce", l.Announce},
		{"listen.metrics", l.Metrics}, {"listen.ready", l.Ready},
	}
	for i, b := range list {
		for _, a := range list[:i] {
			if overlap(a.addr, b.addr) {
				c.problem(b.key, b.addr, "an address and port that "+a.key+" does not take")
			}
		}
	}
}

// PlainText returns the keys of the listeners that are open to the network and
// whose traffic no certificate protects, though it carries operators' tokens or
// gives whoever reaches it a node's powers.
func (n *Node) PlainText() []string {
	var out []string
	for _, l := range []struct{ key, addr, cert string }{
		{"listen.calls", n.Listen.Calls, n.TLS.Cert},
		{"listen.control", n.Listen.Control, n.TLS.Cert},
		{"listen.admin", n.Listen.Admin, n.TLS.AdminCert},
	} {
		if l.cert == "" && !isLoopback(l.addr) {
			out = append(out, l.key)
		}
	}
	return out
}

func isLoopback(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return err == nil && a.Addr().IsLoopback()
}

func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() || x.Port() == 0 {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

func (t *TLS) check(c *checker) {
	set := 0
	for _, f := range []string{t.CA, t.Cert, t.Key} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		c.problem("tls", t.CA+","+t.Cert+","+t.Key, "ca, cert and key together, or none of them")
	}
	if (t.AdminCert == "") != (t.AdminKey == "") {
		c.problem("tls.admin_cert", t.AdminCert, "admin_cert and admin_key together, or neither")
	}
}

func (n *Node) checkOperators(c *checker) {
	for i, o := range n.Operators {
		at := fmt.Sprintf("operator[%d].", i)
		c.name(at+"name", o.Name)
		c.name(at+"team", o.Team)
		if !tokenHash.MatchString(o.TokenSHA256) {
			c.problem(at+"token_sha256", o.TokenSHA256, "the SHA-256 of the token as 64 hexadecimal digits")
		}
	}
}

// checker keeps the first problem found.
type checker struct {
	file string
	err  error
}

func (c *checker) problem(key string, value any, allowed string) {
	if c.err == nil {
		c.err = strict.Problem(c.file, key, value, allowed)
	}
}

func (c *checker) name(key, v string) {
	if !name.MatchString(v) {
		c.problem(key, v, nameAllowed)
	}
}

func (c *checker) oneOf(key, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.problem(key, v, "one of "+strings.Join(allowed, ", "))
	}
}

func (c *checker) addr(key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.problem(key, v, "an IP address and port, such as 10.0.0.7:7800")
	}
}

func (c *checker) loopback(key, v string) {
	if !isLoopback(v) {
		c.problem(key, v, "a loopback address and port, such as 127.0.0.1:7801")
	}
}

func (c *checker) url(key, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.problem(key, v, "an http or https URL, such as http://10.0.0.2:7900")
	}
}

func (c *checker) within(key string, v strict.Duration, low, high time.Duration) {
	d := v.Duration
	if d < low || d > high {
		c.problem(key, d, fmt.Sprintf("a duration from %s to %s", low, high))
	}
}
