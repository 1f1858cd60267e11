package command

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
)

// What an operator would see: a command of many objects is taken while the
// platform can be reached from here, and ends as unknown when it can't. JSON
// escapes made it larger than what a peer takes, which the bound on the objects'
// own bytes did not count.
func TestCommandIsBoundedAsAPeerGetsIt(t *testing.T) {
	sized := func(description string) *Command {
		o := config.EncodeService(config.Service{Name: "s", Team: "t", Description: description})
		return &Command{ID: "c", Operator: "o", Team: "t", Set: []config.Object{o}}
	}
	fits := sized("")
	b, err := json.Marshal(fits)
	if err != nil {
		t.Fatal(err)
	}
	room := MaxBytes - len(b) - len(`,"description":""`) - len(`\\\\`) // room for the field, its quotes escaped
	fits = sized(strings.Repeat("x", room))
	if b, err = json.Marshal(fits); err != nil || len(b) > MaxBytes || len(b) < MaxBytes-16 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	if why := fits.malformed(); why != "" {
		t.Errorf("a command of %d bytes: %s", len(b), why)
	}
	for _, c := range []string{"x", `"`, "<"} {
		large := sized(strings.Repeat(c, room+32))
		if c != "x" {
			large = sized(strings.Repeat(c, room*3/8))
		}
		if b, err = json.Marshal(large); err != nil || len(b) <= MaxBytes {
			t.Fatalf("%d bytes, %v", len(b), err)
		}
		if large.malformed() == "" {
			t.Errorf("a command of %d bytes, with many of %s, is taken", len(b), c)
		}
	}
	unset := sized("x")
	unset.Unset = []config.Key{{Kind: "service", Name: strings.Repeat("n", MaxBytes)}}
	if unset.malformed() == "" {
		t.Error("a command with a name as long as a message is taken")
	}
}
