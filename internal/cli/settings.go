package cli

import (
	"errors"
	"flag"
	"io/fs"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/settings/exit"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

// Defaults and bounds of the settings.
const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = 10 * time.Minute
	maxServers     = 16
	maxTokenFile   = 4 << 10
	// tokenVariable names the environment variable that holds the token.
	tokenVariable = "MARLPASS_TOKEN"
	// settingsPath is below the home directory.
	settingsPath = ".config/marlpass.toml"
)

// Settings is the settings file of the command line.
type Settings struct {
	// Servers are base URLs of nodes' admin APIs, tried in turn.
	Servers []string `toml:"servers"`
	// TokenFile holds the operator's token.
	TokenFile string `toml:"token_file"`
	// CAFile holds the certificates, as PEM, that the servers' are checked
	// against; the system's are used when it is empty.
	CAFile string `toml:"ca_file"`
	// Timeout bounds a whole command over all servers.
	Timeout strict.Duration `toml:"timeout"`
}

// options are the flags that every subcommand takes.
type options struct {
	server    string
	tokenFile string
	config    string
	timeout   time.Duration
	json      bool
}

func defineCommon(f *flag.FlagSet) *options {
	o := new(options)
	f.StringVar(&o.server, "server", "", "base `URL` of a node's admin API; several with commas between, tried in turn")
	f.StringVar(&o.tokenFile, "token-file", "", "`file` with the operator's token (default: the variable "+tokenVariable+")")
	f.StringVar(&o.config, "config", "", "settings `file` (default $HOME/"+settingsPath+" if there is one)")
	f.DurationVar(&o.timeout, "timeout", 0, "bound on the whole command, over all servers (default 10s)")
	f.BoolVar(&o.json, "json", false, "print JSON instead of tables")
	return o
}

// load reads the settings file and puts the flags over it. Flags go before
// the environment, and that goes before the file.
func (o *options) load(getenv func(string) string) (*Settings, string, error) {
	s := &Settings{Timeout: strict.Duration{Duration: defaultTimeout}}
	file, err := o.loadFile(s, getenv)
	if err != nil {
		return nil, "", &exitError{exit.Usage, err.Error()}
	}
	if o.server != "" {
		s.Servers, file = strings.Split(o.server, ","), "flag -server"
	}
	if o.timeout != 0 {
		s.Timeout.Duration = o.timeout
	}
	if err := s.check(file); err != nil {
		return nil, "", &exitError{exit.Usage, err.Error()}
	}
	token, err := o.token(s, getenv)
	return s, token, err
}

func (o *options) loadFile(s *Settings, getenv func(string) string) (string, error) {
	path := o.config
	if path == "" {
		path = filepath.Join(getenv("HOME"), settingsPath)
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			return path, nil
		}
	}
	return path, strict.Load(path, s)
}

func (s *Settings) check(file string) error {
	if len(s.Servers) == 0 {
		return usagef("no server: give -server URL, or servers in %s", file)
	}
	if len(s.Servers) > maxServers {
		return strict.Problem(file, "servers", len(s.Servers), "allowed are up to 16 servers")
	}
	for _, server := range s.Servers {
		if reason := badServer(server); reason != "" {
			return strict.Problem(file, "servers", server, reason)
		}
	}
	if s.Timeout.Duration <= 0 || s.Timeout.Duration > maxTimeout {
		return strict.Problem(file, "timeout", s.Timeout.String(), "allowed is more than 0s up to 10m")
	}
	return nil
}

// badServer says why a server's URL is not allowed. Plain text is only for
// loopback: elsewhere it would show the token to everyone on the way.
func badServer(server string) string {
	u, err := url.Parse(server)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "allowed is a URL such as https://10.0.0.1:7806"
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "" {
		return "allowed is a URL of scheme, host and port alone"
	}
	if u.Scheme == "http" && !isLoopback(u.Hostname()) {
		return "http is allowed on loopback only; use https"
	}
	return ""
}

func isLoopback(host string) bool {
	a, err := netip.ParseAddr(host)
	return host == "localhost" || (err == nil && a.IsLoopback())
}

// token returns the operator's token: from the flag's file, the environment,
// or the settings' file.
func (o *options) token(s *Settings, getenv func(string) string) (string, error) {
	path := o.tokenFile
	if path == "" {
		if token := strings.TrimSpace(getenv(tokenVariable)); token != "" {
			return token, nil
		}
		path = s.TokenFile
	}
	if path == "" {
		return "", usagef("no token: give -token-file FILE, set %s, or token_file in the settings", tokenVariable)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", usagef("the token can't be read: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" || len(data) > maxTokenFile || strings.ContainsAny(token, " \r\n\t") {
		return "", usagef("the token file %s must hold one token and nothing else", path)
	}
	return token, nil
}
