// Package settings reads and checks the settings file of a node. A file is
// decoded strictly and checked whole before anything is started, so a node
// never runs with half of what its operator wrote.
package settings

import (
	"time"

	"github.com/marlpass/marlpass/internal/settings/strict"
)

// Profiles of spreading configuration.
const (
	// ProfileBytes spends fewer control bytes and takes longer.
	ProfileBytes = "bytes"
	// ProfileTime spreads at once.
	ProfileTime = "time"
)

// Node holds the settings of marlpass-node.
type Node struct {
	// Mesh names the mesh; nodes of another mesh are refused.
	Mesh string `toml:"mesh"`
	// Profile is ProfileBytes or ProfileTime.
	Profile    string     `toml:"profile"`
	VM         VM         `toml:"vm"`
	Listen     Listen     `toml:"listen"`
	Platform   Platform   `toml:"platform"`
	Peers      Peers      `toml:"peers"`
	TLS        TLS        `toml:"tls"`
	Operators  []Operator `toml:"operator"`
	Drain      Drain      `toml:"drain"`
	Retries    Retries    `toml:"retries"`
	Announce   Announce   `toml:"announce"`
	Versions   Versions   `toml:"versions"`
	Workspaces Workspaces `toml:"workspaces"`
	Log        Log        `toml:"log"`
	Trace      Trace      `toml:"trace"`
}

// VM says which machine this is.
type VM struct {
	ID         string `toml:"id"`
	Region     string `toml:"region"`
	DataCentre string `toml:"data_centre"`
	// Service is the service of the backend server on this VM, where the
	// platform tells it beforehand.
	Service string `toml:"service"`
	// Backend is that backend server's address, as IP:port.
	Backend string `toml:"backend"`
	// LinkMbps is the rate of the VM's link; zero paces nothing.
	LinkMbps float64 `toml:"link_mbps"`
	// MemoryMB is what the process may use; zero means that nothing is known.
	MemoryMB int `toml:"memory_mb"`
	// Descriptors is how many descriptors the process may open; zero means as many as the
	// operating system allows.
	Descriptors int `toml:"descriptors"`
}

// Listen holds the addresses that the node listens on, each as IP:port.
type Listen struct {
	// Callers takes calls from callers outside the mesh.
	Callers string `toml:"callers"`
	// Internal takes calls from backend servers on this VM; loopback only.
	Internal string `toml:"internal"`
	// Calls takes calls that other nodes send to this VM's backend servers.
	Calls string `toml:"calls"`
	// Control takes messages between nodes.
	Control string `toml:"control"`
	// Admin serves the admin API.
	Admin string `toml:"admin"`
	// Announce takes announcements of backend servers; loopback only.
	Announce string `toml:"announce"`
	// Metrics serves /metrics, /healthz and /readyz.
	Metrics string `toml:"metrics"`
	// Ready, if set, answers every request with 200 while the node takes calls
	// and 503 otherwise, for load balancers that ask at an address of their own.
	Ready string `toml:"ready"`
}

// Platform says where the platform's table and object store are.
type Platform struct {
	URL     string          `toml:"url"`
	Timeout strict.Duration `toml:"timeout"`
	// Form is FormOwn, or FormRows where an adapter stands between.
	Form string `toml:"form"`
}

// Forms of the platform.
const (
	// FormOwn speaks the platform API of marlpass itself.
	FormOwn = "own"
	// FormRows speaks to a platform that keeps rows and blobs, in which the
	// operators' configuration is a row.
	FormRows = "rows"
)

// Announce says how backend servers announce themselves.
type Announce struct {
	// TTL is how long a silent backend server is kept; zero means 3 s.
	TTL strict.Duration `toml:"ttl"`
	// Renew is how often backend servers announce themselves, where they decide
	// that and not the node; the TTL is then several times as long.
	Renew strict.Duration `toml:"renew"`
}

// renewals is how many announcements in a row may be late or lost.
const renewals = 5

// TTLOr returns the TTL, or def where none is set.
func (a Announce) TTLOr(def time.Duration) time.Duration {
	if a.TTL.Duration == 0 {
		return max(def, renewals*a.Renew.Duration)
	}
	return a.TTL.Duration
}

// Retries bounds what retries may add to the load of a service over the whole
// mesh.
type Retries struct {
	// Ratio is how many retries there may be for each call; zero means 0.1.
	Ratio float64 `toml:"ratio"`
	// Slack is how many more there may be in each window, whatever the calls.
	Slack float64 `toml:"slack"`
	// Window is the span over which Slack is counted.
	Window strict.Duration `toml:"window"`
	// Inherited says that all backend servers pass Marlpass-Retried on from the
	// request to the calls that they make for it.
	Inherited bool `toml:"inherited"`
}

// Versions says what operators expect of the versions that nodes follow.
type Versions struct {
	// InForceWithin is how soon after it was accepted elsewhere a version is to be in force;
	// zero means 2 s. The source of versions is asked the less often the longer it is.
	InForceWithin strict.Duration `toml:"in_force_within"`
}

// Workspaces bounds what callers with API keys may do.
type Workspaces struct {
	// ConfirmWithin is how long after the source of versions was last heard API keys are
	// believed. Calls with keys are refused after that, since a key may have been taken away
	// meanwhile. Zero believes them for however long.
	ConfirmWithin strict.Duration `toml:"confirm_within"`
	// QuotaWindow is the span over which the calls of a workspace in the whole mesh are counted
	// against its quota; zero where the quota is a token bucket.
	QuotaWindow strict.Duration `toml:"quota_window"`
	// QuotaOverage and QuotaSlack are what may be beyond the quota in a window: a share of it,
	// and calls.
	QuotaOverage float64 `toml:"quota_overage"`
	QuotaSlack   float64 `toml:"quota_slack"`
}

// Peers holds what is needed for first contact.
type Peers struct {
	// Seeds are control addresses that are tried when the platform is down.
	Seeds []string `toml:"seeds"`
	// AloneAfter is how long a starting node looks for as many peers as it
	// wants to ask, and for a second witness of a snapshot, before it makes do
	// with one peer or with the platform alone. Zero means 10 s. A node that
	// reaches neither peers nor the platform waits however long.
	AloneAfter strict.Duration `toml:"alone_after"`
}

// TLS names the certificate files. Empty means plain text, which is only fit
// for trying marlpass out on one machine.
type TLS struct {
	CA        string `toml:"ca"`
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	AdminCert string `toml:"admin_cert"`
	AdminKey  string `toml:"admin_key"`
}

// Operator is one operator's token, kept only as a hash.
type Operator struct {
	Name        string `toml:"name"`
	Team        string `toml:"team"`
	TokenSHA256 string `toml:"token_sha256"`
	ReadOnly    bool   `toml:"read_only"`
}

// Drain bounds a planned stop.
type Drain struct {
	// Limit is how long calls in flight may go on after a stop was asked for.
	Limit strict.Duration `toml:"limit"`
	// Notice is how long a node that stops goes on taking calls, so that
	// whoever sends them learns of it; zero means 2 s.
	Notice strict.Duration `toml:"notice"`
	// Word is how long before the end of the notice the other nodes are told;
	// zero means at its begin.
	Word strict.Duration `toml:"word"`
	// Grace is how long the platform waits for the process to end before it
	// kills it; zero means that it waits.
	Grace strict.Duration `toml:"grace"`
}

// endMargin is kept free of the grace for closing connections and the log.
const endMargin = 700 * time.Millisecond

// LimitWithin returns the limit, cut so that it ends within the grace if the notice
// takes as long as given.
func (d Drain) LimitWithin(notice time.Duration) time.Duration {
	if d.Grace.Duration == 0 {
		return d.Limit.Duration
	}
	return max(0, min(d.Limit.Duration, d.Grace.Duration-notice-endMargin))
}

// NoticeOr returns the notice, or def where none is set.
func (d Drain) NoticeOr(def time.Duration) time.Duration {
	if d.Notice.Duration == 0 {
		return def
	}
	return d.Notice.Duration
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"`
}

// Trace says where spans are sent; no endpoint means no traces.
type Trace struct {
	Endpoint string  `toml:"otlp_endpoint"`
	Sample   float64 `toml:"sample"`
}

// Defaults of a node's settings.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultDrainLimit      = 10 * time.Minute
	maxPlatformTimeout     = time.Minute
	maxDrainLimit          = 24 * time.Hour
	maxAloneAfter          = time.Hour
)

// DefaultNode returns the settings that a file starts from.
func DefaultNode() Node {
	return Node{
		Profile: ProfileTime,
		Listen: Listen{
			Internal: "127.0.0.1:7801",
			Announce: "127.0.0.1:7804",
			Metrics:  "127.0.0.1:7805",
		},
		Platform: Platform{Form: FormOwn, Timeout: strict.Duration{Duration: DefaultPlatformTimeout}},
		Drain:    Drain{Limit: strict.Duration{Duration: DefaultDrainLimit}},
		Log:      Log{Level: "info"},
		Trace:    Trace{Sample: 0.01},
	}
}

// LoadNode reads and checks the settings in a file.
func LoadNode(path string) (Node, error) {
	n := DefaultNode()
	if err := strict.Load(path, &n); err != nil {
		return Node{}, err
	}
	if err := n.Check(path); err != nil {
		return Node{}, err
	}
	return n, nil
}
