package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/settings"
)

// Guards against a warning that does not name the listener's settings key, which the operator has
// to change.
func TestPlainTextIsLogged(t *testing.T) {
	var log bytes.Buffer
	s := settings.Node{Listen: settings.Listen{
		Calls: "127.0.0.1:1", Control: "127.0.0.1:2", Admin: "10.0.0.1:3",
	}}
	warnPlainText(zerolog.New(&log), s)
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, `"key":"listen.admin"`) {
		t.Errorf("got %s", got)
	}
	log.Reset()
	s.TLS.AdminCert = "admin.pem"
	warnPlainText(zerolog.New(&log), s)
	if log.Len() != 0 {
		t.Errorf("got %s", log.String())
	}
}
