package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSamplesLoad(t *testing.T) {
	files, err := filepath.Glob("../../settings/*/*.toml")
	if err != nil || len(files) != 7 {
		t.Fatalf("found %d sample files (%v), want one for each of the 7 data centres", len(files), err)
	}
	for _, f := range files {
		n, err := LoadNode(f)
		if err != nil {
			t.Error(err)
		}
		if want := strings.TrimSuffix(filepath.Base(f), ".toml"); n.VM.DataCentre != want {
			t.Errorf("%s is for the data centre %s", f, n.VM.DataCentre)
		}
	}
}

func TestLoadNodeNamesTheProblem(t *testing.T) {
	sample, err := os.ReadFile("../../settings/trust/neg-shed.toml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, new, want string }{
		{"profile", `profile = "bytes"`, `profile = "fast"`, `key profile: value "fast": one of bytes, time`},
		{"address", `callers = "10.20.1.11:7800"`, `callers = "neg-shed:7800"`, `key listen.callers: value "neg-shed:7800": an IP address and port`},
		{"not loopback", `announce = "127.0.0.1:7804"`, `announce = "10.20.1.11:7804"`, `key listen.announce: value "10.20.1.11:7804": a loopback address`},
		{"out of range", `timeout = "2s"`, `timeout = "2h"`, `key platform.timeout: value 2h0m0s: a duration from 1ms to 1m0s`},
		{"half of TLS", `key = "/etc/marlpass/node.key"`, ``, `key tls: `},
		{"token", `token_sha256 = "0000`, `token_sha256 = "secret0000`, `key operator[0].token_sha256`},
		{"unknown key", `[drain]`, "[drain]\nlimits = 3", `key drain.limits: value 3: unknown key`},
		{"wrong type", `id = "neg-shed-01"`, `id = 7`, `key vm.id: value 7: allowed is a string`},
		{"form", `timeout = "2s"`, "timeout = \"2s\"\nform = \"blobs\"", `key platform.form: value "blobs": one of own, rows`},
		{"no backend server", `timeout = "2s"`, "timeout = \"2s\"\nform = \"rows\"", `key vm.backend: value "": an IP address and port`},
		{"link", `id = "neg-shed-01"`, "id = \"neg-shed-01\"\nlink_mbps = -1.0", `key vm.link_mbps: value -1: megabits a second`},
		{"memory", `id = "neg-shed-01"`, "id = \"neg-shed-01\"\nmemory_mb = -1", `key vm.memory_mb: value -1: megabytes`},
		{"retries", `[drain]`, "[retries]\nratio = 2.0\n[drain]", `key retries.ratio: value 2: a number from 0 to 1`},
		{"keys that nothing confirms", `[drain]`, "[workspaces]\nconfirm_within = \"5s\"\n[drain]", `key workspaces.confirm_within: value 5s: 0s, since nothing confirms keys with the platform's form "own"`},
		{"window", `[drain]`, "[retries]\nslack = 5.0\n[drain]", `key retries.window: value 0s: a duration from 1s`},
		{"word", `[drain]`, "[drain]\nnotice = \"1s\"\nword = \"2s\"", `key drain.word: value 2s: a duration from 0s to 1s`},
		{"ready", `metrics = "10.20.1.11:7805"`, "metrics = \"10.20.1.11:7805\"\nready = \"here\"", `key listen.ready: value "here": an IP address and port`},
		{"name", `id = "neg-shed-01"`, `id = "Neg Shed"`, `key vm.id: value "Neg Shed": 1 to 63 characters`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.toml")
			text := strings.Replace(string(sample), test.old, test.new, 1)
			if text == string(sample) {
				t.Fatal("the sample no longer has the line to change")
			}
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadNode(file)
			if err == nil {
				t.Fatal("accepted")
			}
			if got := err.Error(); !strings.Contains(got, file) || !strings.Contains(got, test.want) || strings.Contains(got, "\n") {
				t.Errorf("got  %s\nwant %s", got, test.want)
			}
		})
	}
}

// A node was set up on a VM with the settings of a trial, without certificates.
// Nothing told that operators' tokens and commands between nodes crossed the
// network in plain text, where anyone could read and send them.
func TestPlainTextOnTheNetworkIsNamed(t *testing.T) {
	plain := func(n *Node) { n.TLS = TLS{} }
	tests := []struct {
		name   string
		change func(*Node)
		want   string
	}{
		{"certificates", func(*Node) {}, ""},
		{"none", plain, "listen.calls listen.control listen.admin"},
		{"none between nodes", func(n *Node) { n.TLS.CA, n.TLS.Cert, n.TLS.Key = "", "", "" }, "listen.calls listen.control"},
		{"none for operators", func(n *Node) { n.TLS.AdminCert, n.TLS.AdminKey = "", "" }, "listen.admin"},
		{"every address", func(n *Node) { plain(n); n.Listen.Admin = "0.0.0.0:7806" }, "listen.calls listen.control listen.admin"},
		{"loopback", func(n *Node) {
			plain(n)
			n.Listen.Calls, n.Listen.Control, n.Listen.Admin = "127.0.0.1:1", "127.0.0.2:1", "[::1]:1"
		}, ""},
	}
	for _, test := range tests {
		n, err := LoadNode("../../settings/trust/neg-shed.toml")
		if err != nil {
			t.Fatal(err)
		}
		test.change(&n)
		if got := strings.Join(n.PlainText(), " "); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
