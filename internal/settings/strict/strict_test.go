package strict

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type sample struct {
	Listen string   `toml:"listen"`
	Tries  int      `toml:"tries"`
	Wait   Duration `toml:"wait"`
	Limit  struct {
		Reads float64 `toml:"reads"`
	} `toml:"limit"`
	Peers []struct {
		Port uint16 `toml:"port"`
	} `toml:"peers"`
}

func TestDecodeRefusesInOneLine(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", "listn = 'a'", `settings: f.toml: key listn: value "a": unknown key; allowed are limit, listen, peers, tries, wait`},
		{"unknown key in a table", "[limit]\nwrites = 3", `settings: f.toml: key limit.writes: value 3: unknown key; allowed are reads`},
		{"unknown table", "[limits]\nreads = 3", `settings: f.toml: key limits: value a table: unknown key; allowed are limit, listen, peers, tries, wait`},
		{"string for a number", "tries = 'x'", `settings: f.toml: key tries: value "x": allowed is a whole number`},
		{"number for a string", "listen = 4", `settings: f.toml: key listen: value 4: allowed is a string in quotes`},
		{"bad duration", "wait = '4 days'", `settings: f.toml: key wait: value "4 days": allowed is a duration in quotes, like "250ms" or "10s"`},
		{"number for a duration", "wait = 4", `settings: f.toml: key wait: value 4: allowed is a duration in quotes, like "250ms" or "10s"`},
		{"number too large", "[[peers]]\nport = 70000", `settings: f.toml: key peers.port: value 70000: allowed is a whole number from 0 to 65535`},
		{"not TOML", "tries = = 1", `settings: f.toml: line 1 column 9:`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s sample
			err := Decode("f.toml", []byte(test.text), &s)
			if err == nil {
				t.Fatal("accepted")
			}
			if got := err.Error(); !strings.HasPrefix(got, test.want) || strings.Contains(got, "\n") {
				t.Errorf("got  %s\nwant %s", got, test.want)
			}
		})
	}
}

// An operator wrote a token into the settings where its hash or its file belongs,
// and sent SIGHUP. The refusal quoted the value, so the token went to the log and
// from there to everybody who reads logs.
func TestRefusalShowsNoToken(t *testing.T) {
	var s struct {
		TokenFile string `toml:"token_file"`
		Operator  []struct {
			TokenSHA256 string `toml:"token_sha256"`
		} `toml:"operator"`
	}
	const token = "open-sesame"
	for name, err := range map[string]error{
		"unknown key":     Decode("f.toml", []byte("token = '"+token+"'"), &s),
		"unknown in list": Decode("f.toml", []byte("[[operator]]\ntoken = '"+token+"'"), &s),
		"wrong type":      Decode("f.toml", []byte("[[operator]]\ntoken_sha256 = ['"+token+"']"), &s),
		"not allowed":     Problem("f.toml", "operator[0].token_sha256", token, "64 hexadecimal digits"),
	} {
		if err == nil || strings.Contains(err.Error(), token) || !strings.Contains(err.Error(), "token") {
			t.Errorf("%s: got %v", name, err)
		}
	}
	err := Problem("f.toml", "token_file", "/etc/token", "not there")
	if !strings.Contains(err.Error(), `value "/etc/token"`) {
		t.Errorf("a file's name is hidden: %v", err)
	}
}

func TestLoadKeepsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.toml")
	if err := os.WriteFile(path, []byte("wait = '2s'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := sample{Listen: ":1", Tries: 3}
	if err := Load(path, &s); err != nil {
		t.Fatal(err)
	}
	if s.Listen != ":1" || s.Tries != 3 || s.Wait.Duration != 2*time.Second {
		t.Errorf("got %+v", s)
	}
}

func TestLoadNamesTheMissingFile(t *testing.T) {
	err := Load(filepath.Join("no", "such.toml"), &sample{})
	if err == nil || err.Error() != "settings: no/such.toml: cannot be read: no such file or directory" {
		t.Errorf("got %v", err)
	}
}

// FuzzDecode gives the loader files that no one would write: it must answer
// each with success or with one line.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"", "wait = 4", "[[peers]]\nport = 70000", "limit.reads = [1]", "a = = 1", "peers = [{port = 'x'}]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		if err := Decode("f.toml", data, &s); err != nil && strings.ContainsAny(err.Error(), "\n\r") {
			t.Errorf("more than one line: %q", err)
		}
	})
}
